// Command recover kills all routers once while a prepaid budget is spent at a steady rate, and checks that a quarter of
// the requests is served again recover_s later, while the budget would have lasted longer.
package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numRouters = 3
	period     = 250 * time.Millisecond
	// tokensPerSecond is what the clients ask for.
	tokensPerSecond = kit.NumSpenders * 4 * (kit.SpendPrompt + kit.SpendOutput)
	killAt          = 10 * time.Second
	downTime        = time.Second
	// The budget lasts for lastsFor after killAt if nothing is lost.
	lastsFor = 18 * time.Second
	prepaid  = tokensPerSecond * int64((killAt+lastsFor)/time.Second)
	// recoverTime is recover_s. The requests that are sent from then on, for judgedTime, are judged. At the end of that
	// time, what is used and what is in progress still fits into 97 in 100 of the budget.
	recoverTime = 12 * time.Second
	judgedTime  = 4 * time.Second
	leastServed = 0.25
)

func play(d *kit.Deployment) (bool, error) {
	s, err := kit.StartSpending(d, numRouters, prepaid)
	if err != nil {
		return false, err
	}
	s.Period = period
	var judgedFrom, before, servedBefore, after, servedAfter, shortAfter atomic.Int64
	s.OnReply = func(sentAt time.Time, status int) {
		from := judgedFrom.Load() // Unix nanoseconds, 0 before the end of the fault
		switch {
		case from == 0:
			count(&before, &servedBefore, status)
		case sentAt.UnixNano() >= from:
			count(&after, &servedAfter, status)
			if status == http.StatusPaymentRequired {
				shortAfter.Add(1)
			}
		}
	}
	s.Begin()
	time.Sleep(killAt)
	if kit.Trouble() {
		for _, router := range s.Routers {
			router.Signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		if err := kit.StartAgain(s.Routers); err != nil {
			s.Stop()
			return false, err
		}
	}
	judgedFrom.Store(time.Now().Add(recoverTime).UnixNano())
	d.Record("the routers are back; %d tokens of %d are used", s.Used(), prepaid)
	time.Sleep(recoverTime + judgedTime)
	s.Stop()
	d.Record("summary: %d of %d requests served before; from %v after the routers were back %d of %d, %d with 402; prepaid %d, used %d",
		servedBefore.Load(), before.Load(), recoverTime, servedAfter.Load(), after.Load(), shortAfter.Load(), prepaid, s.Used())
	if servedBefore.Load() == 0 || after.Load() == 0 {
		return false, fmt.Errorf("nothing to judge")
	}
	servedAgain := float64(servedAfter.Load()) / float64(after.Load())
	return float64(servedBefore.Load()) >= leastServed*float64(before.Load()) && servedAgain < leastServed, nil
}

func count(all, served *atomic.Int64, status int) {
	all.Add(1)
	if status == http.StatusOK {
		served.Add(1)
	}
}
