package life

import "github.com/lavenderring/lavenderring/pkg/eventlog"

// NoteSettings logs that the settings file of a running instance was read again; err is what is wrong with it.
func NoteSettings(log *eventlog.Log, err error) {
	fields := eventlog.Fields{"valid": err == nil}
	if err != nil {
		fields["cause"] = err.Error()
	}
	log.Event(eventlog.SettingsRead, "", fields)
}
