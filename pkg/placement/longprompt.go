package placement

import (
	"math"
	"slices"
	"time"
)

// An engine prefills a prompt in chunks, one in each decoding step of the streams that it
// runs, and a chunk takes longer the further it is into the prompt. In prompts of more than
// about 25,000 tokens, the last chunks slow the steps so much that those of one event add up
// to more than the pause that the clients of the streams allow: under low load on 12 engines,
// 30 such prompts made 227 of 2,598 streams late. So the longest prompts are sent to a few
// dedicated engines, which other requests avoid. A stream counts as late at most once, so
// several long prompts at one engine cost less than the same prompts spread over several
// engines.
//
// In simulations with 12 engines and four seeds each, without a charge for processor time,
// dedicated engines raised the value of the served requests from 0.673 to 0.707 and from
// 0.728 to 0.782 on two days of high load, and from 0.801 to 0.837 on one of low load. The
// largest tenth of the summaries is served slightly worse, which offsets part of the gain.

const (
	// longPromptSteps defines long prompts: those whose prefill takes longer than this many
	// decoding steps of the longest duration that streams allow, which is their allowed pause
	// divided by the tokens in an event. Chunks get slower along a prompt, and in longer prompts
	// the last chunks exceed that duration. With 64 tokens prefilled in a millisecond, events
	// of five tokens and pauses of 300 ms, prompts of more than 23,000 tokens are long;
	// thresholds of 20,000, 26,000 and 33,000 tokens were simulated too. A threshold relative
	// to the objective for the first event does not work: all prompts of a deployment with
	// shorter objectives counted as long, and its score fell from 0.95 to 0.57.
	longPromptSteps = 9
	// minEnginesPerDedicated bounds the engines dedicated to long prompts: at most one in
	// this many engines.
	minEnginesPerDedicated = 3
	// dedicatedMargin is the share of engines that are dedicated to long prompts, divided by
	// the share of prefill work that long prompts cause. It exceeds 1 because a few large
	// prompts collide at an engine more often than many small ones.
	dedicatedMargin = 1.5
	// outsideGroupCost is the cost, in prompt tokens, of sending a long prompt to an engine that
	// is not dedicated, or another prompt to one that is. At this cost, a request leaves the
	// engines of its own group only if each of them has at least one more of the longest
	// prompts to prefill first.
	outsideGroupCost = 30000
	// longShareWindow is the number of requests over which the share of long prompts is
	// averaged, with exponentially decreasing weights.
	longShareWindow = 500
	// minAnswers is the number of answers that the prefill rate must be based on before any
	// prompt counts as long; maxAnswersPerInstance caps the weight of one instance's answers.
	minAnswers            = 20
	maxAnswersPerInstance = 200
	// peerStatsLifetime is how long the statistics of another instance are used.
	peerStatsLifetime = time.Minute
)

// PrefillStats are an instance's statistics of how fast a service's engines prefill prompts,
// and of the prompts that it has sent lately. Instances exchange them so that all divide
// requests and engines in the same way. Without the exchange, instances with few requests
// took ten seconds to learn the rate and sent the same sessions to other engines than the
// rest did, which caused more repeated prefill than the dedicated engines saved.
type PrefillStats struct {
	// TokensPerSecond is the prefill rate, estimated from Answers answers.
	TokensPerSecond float64
	Answers         int64
	// TotalTokens and LongTokens estimate the prefill work, as exponentially decayed sums of
	// prompt tokens: of all prompts, and of the long ones. The tokens of a prompt have more
	// weight the longer it is (addPrompt).
	TotalTokens, LongTokens float64
}

// peerStats are the statistics received from another instance.
type peerStats struct {
	PrefillStats
	receivedAt time.Time
}

// prefillEstimate combines this instance's statistics with those of its peers.
type prefillEstimate struct {
	rate              prefillRate
	ownTotal, ownLong float64
	peers             map[string]peerStats
	// peerAnswers, peerWeightedRate, peerTotal and peerLong are sums over the peers: of answers,
	// of prefill rates weighted by answers, and of the tokens of all and of long prompts.
	peerAnswers, peerWeightedRate float64
	peerTotal, peerLong           float64
}

// addPrompt records a prompt that is sent to an engine.
func (r *prefillEstimate) addPrompt(tokens int64, long bool, longThreshold float64) {
	const fade = 1 - 1.0/longShareWindow
	cost := float64(tokens)
	if longThreshold > 0 {
		cost *= 1 + cost/(2*longThreshold) // later tokens take longer than the first ones
	}
	r.ownTotal = r.ownTotal*fade + cost
	r.ownLong *= fade
	if long {
		r.ownLong += cost
	}
}

// recordPeer stores the statistics of another instance and recomputes the sums over all peers.
func (r *prefillEstimate) recordPeer(peer string, stats PrefillStats, now time.Time) {
	if r.peers == nil {
		r.peers = map[string]peerStats{}
	}
	r.peers[peer] = peerStats{PrefillStats: stats, receivedAt: now}
	r.peerAnswers, r.peerWeightedRate, r.peerTotal, r.peerLong = 0, 0, 0, 0
	for name, other := range r.peers {
		if now.Sub(other.receivedAt) > peerStatsLifetime {
			delete(r.peers, name)
			continue
		}
		weight := float64(min(other.Answers, maxAnswersPerInstance))
		r.peerAnswers += weight
		r.peerWeightedRate += weight * other.TokensPerSecond
		r.peerTotal += other.TotalTokens
		r.peerLong += other.LongTokens
	}
}

// tokensPerSecond returns the prefill rate estimated from the answers of all instances, or 0 if
// there are fewer than minAnswers.
func (r *prefillEstimate) tokensPerSecond() float64 {
	ownAnswers := float64(min(r.rate.answers, maxAnswersPerInstance))
	if ownAnswers+r.peerAnswers < minAnswers {
		return 0
	}
	return (ownAnswers*r.rate.tokensPerSecond + r.peerWeightedRate) / (ownAnswers + r.peerAnswers)
}

// numDedicated returns how many of the engines are dedicated to long prompts. The number is in
// proportion to the long prompts' share of the prefill work, so that both groups of engines are
// about equally busy.
func (r *prefillEstimate) numDedicated(numEngines int) int {
	total := r.ownTotal + r.peerTotal
	if total <= 0 || r.tokensPerSecond() == 0 {
		return 0
	}
	share := (r.ownLong + r.peerLong) / total
	return min(int(math.Round(dedicatedMargin*float64(numEngines)*share)), numEngines/minEnginesPerDedicated)
}

// PrefillStats returns this instance's own statistics, to be sent to its peers.
func (p *Pool) PrefillStats() PrefillStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.prefill
	return PrefillStats{TokensPerSecond: r.rate.tokensPerSecond, Answers: r.rate.answers, TotalTokens: r.ownTotal, LongTokens: r.ownLong}
}

// RecordPeerStats stores the statistics received from the named instance.
func (p *Pool) RecordPeerStats(peer string, stats PrefillStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefill.recordPeer(peer, stats, p.now())
}

// longPromptThreshold returns the size in tokens above which a prompt delays other streams
// beyond their allowed pause, or 0 while that is unknown.
func (p *Pool) longPromptThreshold(req *Request) float64 {
	if req.TokensPerEvent <= 0 {
		return 0
	}
	stepSeconds := req.MaxPause.Seconds() / float64(req.TokensPerEvent)
	return p.prefill.tokensPerSecond() * longPromptSteps * stepSeconds
}

// rankEngines sets the order in which engines are dedicated to long prompts. It depends on the
// engines' ids alone, so all instances agree on it without communication: instances that see
// different shares of long prompts differ in how many engines they dedicate, not in which come
// first.
func (p *Pool) rankEngines() {
	ranked := slices.Clone(p.upstreams)
	slices.SortFunc(ranked, func(a, b *upstreamState) int {
		switch x, y := fmix64(a.hash^rankSalt), fmix64(b.hash^rankSalt); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for rank, s := range ranked {
		s.dedicationRank = rank
	}
}

// rankSalt makes the order independent of the rendezvous hashing of sessions.
const rankSalt = 0x9e3779b97f4a7c15
