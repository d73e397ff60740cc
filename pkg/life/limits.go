package life

import (
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// ExcessMonitor logs what a server for clients did not take on because of its bounds. It must not be used concurrently.
type ExcessMonitor struct{ logged httpserve.Excess }

// Check logs what has been added since the last call, if anything has.
func (m *ExcessMonitor) Check(now httpserve.Excess, log *eventlog.Log) {
	if now == m.logged {
		return
	}
	log.Event(eventlog.ClientsLimited, "", eventlog.Fields{
		"conns_closed":     now.ConnsClosed - m.logged.ConnsClosed,
		"requests_refused": now.RequestsRefused - m.logged.RequestsRefused,
	})
	m.logged = now
}
