package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// Bounds of what is checked.
const (
	// lateSlack is how long after its time limit a request may be answered. It is wide,
	// for machines that are busy with other things.
	lateSlack = 5 * time.Second
	// settleTime is how long after a failure its effects are taken to last: until a
	// silent connection is found, and a second for the next call.
	settleTime = 4 * time.Second
	// runsSettle is how long what was sent may take to show at an upstream.
	runsSettle = 2 * time.Second
	// recoverTime is how long the fleet may take to serve all again after the faults.
	recoverTime = 20 * time.Second
)

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkAnswer checks one answer by itself, as soon as it is there.
func (r *run) checkAnswer(s *sending) {
	switch {
	case s.status == http.StatusOK && s.err == nil:
		if s.answerTo != s.id || !s.sealed || !s.whole() {
			r.violate("%s: answered with what is not its whole answer: id %q, sealed %t, %q", s, s.answerTo, s.sealed, s.body)
		}
	case s.status == http.StatusPaymentRequired && s.key == poorKey:
	case s.status >= http.StatusBadRequest && s.status < http.StatusInternalServerError && !promises[s.status]:
		r.violate("%s: refused with %d although it is allowed", s, s.status)
	}
	if s.ended.Sub(s.began) > routeTimeout+lateSlack && !r.troubledAt(s.instance, s.began.Add(-settleTime), s.ended) {
		r.violate("%s: had no answer for %v", s, s.ended.Sub(s.began))
	}
}

// whole reports that the body is all of the answer to this request.
func (s *sending) whole() bool {
	if strings.HasPrefix(s.route, "stream") || s.route == "resumable" {
		var all strings.Builder
		for n := 1; n <= streamEvents; n++ {
			fmt.Fprintf(&all, "id: %d\ndata: piece %d\n\n", n, n)
		}
		return s.body == all.String()
	}
	return strings.HasPrefix(s.body, "answer of u") && strings.HasSuffix(s.body, " to "+s.id)
}

// String implements fmt.Stringer.
func (s *sending) String() string { return s.route + " request " + s.id + " at " + s.instance.name }

// checkRuns compares what clients were told with what the upstreams ran.
func (r *run) checkRuns() {
	runs := r.fleet.runs()
	spent, unseen := int64(0), int64(0)
	for _, s := range r.sendings {
		ran := runs[s.id]
		r.checkCount(s, ran)
		if promises[s.status] && len(ran) > 0 {
			r.violate("%s: told %d, which means not run, and ran %d times", s, s.status, len(ran))
		}
		cutOff := s.err != nil && !s.left && len(ran) > 0
		excused := r.troubled(s.began.Add(-settleTime), s.ended) || r.crashedBetween(s.began, s.ended)
		if cutOff && r.stoppedAt(s.instance, s.began, s.ended) && !excused {
			r.violate("%s: cut off by a planned stop: %v", s, s.err)
		}
		if s.key == poorKey && len(ran) > 0 {
			cost := promptTokens + s.events()
			spent += cost
			unseen += r.unseen(s, cost)
		}
	}
	_, prepaid := r.fleet.operator.state()
	over := spent - prepaid
	if over > unseen {
		r.violate("account %s spent %d tokens of %d", poorAccount, spent, prepaid)
	} else if over > 0 {
		r.apart = over
	}
}

func (r *run) checkCount(s *sending, ran []standin.Run) {
	for k := range routes {
		route := &routes[k]
		if route.Name != s.route {
			continue
		}
		if !route.Retryable() && len(ran) > 1 {
			r.violate("%s: ran %d times", s, len(ran))
		}
		if len(ran) > route.MaxAttempts {
			r.violate("%s: ran %d times, %d allowed", s, len(ran), route.MaxAttempts)
		}
	}
}

// checkRecovery waits until every instance serves every route and knows the newest
// configuration.
func (r *run) checkRecovery() {
	deadline := time.Now().Add(recoverTime)
	for _, i := range r.fleet.instances {
		for _, route := range []string{"once", "safe", "stream", "resumable", optionalRoute} {
			for !r.serves(i, route) {
				if time.Now().After(deadline) {
					r.violate("%s does not serve %s rightly %v after the last fault", i.name, route, recoverTime)
					break
				}
				time.Sleep(recoverCheck)
			}
		}
	}
}

// recoverCheck is the pause between two looks.
const recoverCheck = 100 * time.Millisecond

// serves reports whether an instance answers a route as configured.
func (r *run) serves(i *instance, route string) bool {
	r.probes++
	s := &sending{id: fmt.Sprintf("probe-%d", r.probes), key: richKey, instance: i, route: route}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	s.send(transport, nil)
	optional, _ := r.fleet.operator.state()
	if route == optionalRoute && !optional {
		return s.status == http.StatusNotFound
	}
	return s.err == nil && s.status == http.StatusOK && s.whole()
}
