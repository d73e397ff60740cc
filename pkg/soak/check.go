package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// Bounds of the checks.
const (
	// timeoutSlack is how long after its timeout a request may be answered. It is large,
	// to allow for busy machines.
	timeoutSlack = 5 * time.Second
	// faultEffectDuration is how long the effects of a failure may last after its end: the
	// time in which a silent connection is detected, and one second for the next call.
	faultEffectDuration = 4 * time.Second
	// runsVisibleDelay is how long a request that was sent may take to show up at an upstream.
	runsVisibleDelay = 2 * time.Second
	// recoveryTimeout is how long the fleet may take to serve all routes after the last fault.
	recoveryTimeout = 20 * time.Second
)

// notRunStatuses are the statuses by which an instance asserts that a request has not run and
// never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkAnswer checks one answer on its own, as soon as it has been received.
func (r *runner) checkAnswer(s *request) {
	switch {
	case s.status == http.StatusOK && s.err == nil:
		if s.answerID != s.id || !s.sealed || !s.isWhole() {
			r.reportViolation("%s: status 200 without its own whole answer: id %q, sealed %t, %s", s, s.answerID, s.sealed, s.excerpt())
		}
	case s.status == http.StatusPaymentRequired && s.key == poorKey:
	case s.status >= http.StatusBadRequest && s.status < http.StatusInternalServerError && !notRunStatuses[s.status]:
		r.reportViolation("%s: refused with %d although the request is allowed", s, s.status)
	}
	if s.end.Sub(s.start) > routeTimeout+timeoutSlack && !r.interruptedBetween(s.instance, s.start.Add(-faultEffectDuration), s.end) {
		r.reportViolation("%s: had no answer for %v", s, s.end.Sub(s.start))
	}
}

// maxExcerptBytes bounds how much of an answer a report shows.
const maxExcerptBytes = 400

// excerpt returns the size and the beginning of the answer's body.
func (s *request) excerpt() string {
	return fmt.Sprintf("%d bytes %q", len(s.answerBody), s.answerBody[:min(len(s.answerBody), maxExcerptBytes)])
}

// isWhole reports whether the body is the whole answer to this request.
func (s *request) isWhole() bool {
	if strings.HasPrefix(s.route, "stream") || s.route == resumableRoute {
		var all strings.Builder
		for n := s.numBefore + 1; n <= streamEvents; n++ {
			fmt.Fprintf(&all, "id: %d\ndata: piece %d\n\n", n, n)
		}
		return s.answerBody == all.String()
	}
	return strings.HasPrefix(s.answerBody, "answer of u") && strings.HasSuffix(s.answerBody, " to "+s.id)
}

// String implements fmt.Stringer.
func (s *request) String() string { return s.route + " request " + s.id + " at " + s.instance.name }

// checkRuns compares the answers that clients got with what the upstreams ran, and the tokens
// that the poor account spent with its prepaid amount.
func (r *runner) checkRuns() {
	runs := r.fleet.runs()
	spent, unwitnessed := int64(0), int64(0)
	for _, s := range r.requests {
		ran := runs[s.id]
		r.checkRunCount(s, ran)
		r.checkVersions(s, runs)
		if notRunStatuses[s.status] && len(ran) > 0 {
			r.reportViolation("%s: told %d, which means not run, and ran %d times", s, s.status, len(ran))
		}
		r.checkEnded(s, ran)
		cutOff := s.err != nil && !s.leavesEarly && len(ran) > 0
		if cutOff && r.plannedWorkBetween(s.instance, s.start, s.end) && !r.excusesEnd(s) {
			r.reportViolation("%s: cut off by a planned stop: %v", s, s.err)
		}
		if s.key == poorKey && len(ran) > 0 {
			cost := promptTokens + s.events()
			spent += cost
			unwitnessed += r.unwitnessedCost(s, cost)
		}
	}
	_, prepaid := r.fleet.operator.state()
	over := spent - prepaid
	if over > unwitnessed {
		r.reportViolation("account %s spent %d tokens of %d prepaid", poorAccount, spent, prepaid)
	} else if over > 0 {
		r.excusedOverspend = over
	}
}

// checkRunCount checks that a request ran at most as often as its route allows.
func (r *runner) checkRunCount(s *request, ran []standin.Run) {
	for k := range routes {
		route := &routes[k]
		if route.Name != s.route {
			continue
		}
		if !route.Retryable() && len(ran) > 1 {
			r.reportViolation("%s: ran %d times", s, len(ran))
		}
		if len(ran) > route.MaxAttempts {
			r.reportViolation("%s: ran %d times, %d allowed", s, len(ran), route.MaxAttempts)
		}
	}
}

// checkVersions checks that a stream went on only at a software version that began it.
func (r *runner) checkVersions(s *request, runs map[string][]standin.Run) {
	first := s
	if s.first != nil {
		first = s.first
	}
	for _, ran := range runs[s.id] {
		if ran.LastEventID == "" {
			continue
		}
		began := func(other standin.Run) bool { return other.LastEventID == "" && other.Version == ran.Version }
		if !slices.ContainsFunc(runs[first.id], began) {
			r.reportViolation("%s: went on at software version %s after event %s, which did not begin it", s, ran.Version, ran.LastEventID)
		}
	}
}

// countResumed returns how many streams clients resumed, and how many of them went on.
func (r *runner) countResumed() (resumed, wentOn int) {
	for _, s := range r.requests {
		if s.first == nil {
			continue
		}
		resumed++
		if s.status == http.StatusOK {
			wentOn++
		}
	}
	return resumed, wentOn
}

// checkRecovery waits until every instance serves every route by the newest
// configuration.
func (r *runner) checkRecovery() {
	deadline := time.Now().Add(recoveryTimeout)
	for _, i := range r.fleet.instances {
		for _, route := range []string{"once", "safe", "stream", resumableRoute, optionalRoute} {
			for !r.serves(i, route) {
				if time.Now().After(deadline) {
					r.reportViolation("%s does not serve route %s as configured %v after the last fault", i.name, route, recoveryTimeout)
					break
				}
				time.Sleep(pollInterval)
			}
		}
	}
}

// pollInterval is the pause between two checks of an instance.
const pollInterval = 100 * time.Millisecond

// serves reports whether an instance answers a route as it is configured.
func (r *runner) serves(i *instance, route string) bool {
	r.probes++
	s := &request{id: fmt.Sprintf("probe-%d", r.probes), key: richKey, instance: i, route: route}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	s.send(transport, nil)
	optional, _ := r.fleet.operator.state()
	if route == optionalRoute && !optional {
		return s.status == http.StatusNotFound
	}
	return s.err == nil && s.status == http.StatusOK && s.isWhole()
}
