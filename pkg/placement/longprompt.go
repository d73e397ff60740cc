package placement

import (
	"math"
	"slices"
	"time"
)

// A prompt is read in chunks between the tokens of the streams that run at its engine, and
// the further into a long prompt, the longer a chunk takes. From some 25,000 tokens on, the
// steps of one event of those streams add up to more than the pause that their clients
// allow: on a calm day of 12 engines, 30 such prompts made 227 of 2,598 streams late. So
// the longest prompts go to a few engines of their own, and other requests keep away from
// these. Every stream is late once at most, so long prompts that meet at one engine cost
// less than long prompts that are spread.
//
// Measured with 12 engines, four seeds each, no processor time charged: served worth 0.673 to
// 0.707 and 0.728 to 0.782 on two days of high load, 0.801 to 0.837 on a calm one. The
// largest tenth of the summaries is served a little worse (the worst-served tenth takes some
// of the gain back).

const (
	// longSteps is how many of the steps that streams are allowed the reading of a prompt
	// takes, from which on it counts as long. A step may take the allowed pause divided by
	// the tokens in an event; chunks get slower along a prompt, and from about this many on
	// the later ones take longer than that. With 64 tokens read in a millisecond, events of
	// five tokens and pauses of 300 ms these are prompts of 23,000 tokens. Thresholds of
	// 20,000, 26,000 and 33,000 were played; measured against the time to the first event
	// instead, all prompts of a deployment with shorter objectives counted as long, and its
	// score fell from 0.95 to 0.57.
	longSteps = 9
	// mostApart is the part of the engines, as a divisor, that long prompts may have.
	mostApart = 3
	// apartMargin times their part of the reading is the part of the engines that long
	// prompts have: few large ones meet more often than many small ones.
	apartMargin = 1.5
	// apartCost keeps long prompts and others apart, in prompt tokens: either goes to the
	// other's engines only where its own have one of the longest prompts more before it.
	apartCost = 30000
	// mixMemory is how many requests the share of long prompts is averaged over.
	mixMemory = 500
	// leastAnswers is how many answers the rate must rest on before any prompt counts as
	// long, mostAnswers the most that count of one instance.
	leastAnswers = 20
	mostAnswers  = 200
	// heardFor is how long what another instance has learned counts.
	heardFor = time.Minute
)

// Reading is what an instance has learned of how a service's engines read prompts, and of
// the prompts that it has sent lately. Instances tell each other, so that all of them divide
// requests and engines alike: left alone, those with few requests took ten seconds to learn
// and sent the same sessions elsewhere than the others did, and more was read again than
// was gained.
type Reading struct {
	// TokensPerSecond is the rate, learned from so many Answers.
	TokensPerSecond float64
	Answers         int64
	// All and Long are the tokens of all prompts and of long ones, fading.
	All, Long float64
}

// heardReading is another instance's.
type heardReading struct {
	Reading
	at time.Time
}

// readings joins what this instance has learned with what others have.
type readings struct {
	rate      readingRate
	all, long float64
	heard     map[string]heardReading
	// Sums over the others: of answers and of rates weighted by them, and of tokens.
	answers, weighted     float64
	othersAll, othersLong float64
}

// add notes a prompt that is sent.
func (r *readings) add(tokens int64, long bool, most float64) {
	const fade = 1 - 1.0/mixMemory
	work := float64(tokens)
	if most > 0 {
		work *= 1 + work/(2*most) // the later tokens take longer than the first
	}
	r.all = r.all*fade + work
	r.long *= fade
	if long {
		r.long += work
	}
}

// learn takes in what another instance has learned.
func (r *readings) learn(from string, reading Reading, now time.Time) {
	if r.heard == nil {
		r.heard = map[string]heardReading{}
	}
	r.heard[from] = heardReading{Reading: reading, at: now}
	r.answers, r.weighted, r.othersAll, r.othersLong = 0, 0, 0, 0
	for name, other := range r.heard {
		if now.Sub(other.at) > heardFor {
			delete(r.heard, name)
			continue
		}
		weight := float64(min(other.Answers, mostAnswers))
		r.answers += weight
		r.weighted += weight * other.TokensPerSecond
		r.othersAll += other.All
		r.othersLong += other.Long
	}
}

// perSecond is the rate that all together have learned; 0 if it rests on too few answers.
func (r *readings) perSecond() float64 {
	own := float64(min(r.rate.answers, mostAnswers))
	if own+r.answers < leastAnswers {
		return 0
	}
	return (own*r.rate.perSecond + r.weighted) / (own + r.answers)
}

// apart is how many of so many engines long prompts have: as large a part as they have of
// all reading, so that both parts are about equally busy.
func (r *readings) apart(engines int) int {
	all := r.all + r.othersAll
	if all <= 0 || r.perSecond() == 0 {
		return 0
	}
	share := (r.long + r.othersLong) / all
	return min(int(math.Round(apartMargin*float64(engines)*share)), engines/mostApart)
}

// Reading returns what this instance has learned, to be told to others.
func (p *Pool) Reading() Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.readings
	return Reading{TokensPerSecond: r.rate.perSecond, Answers: r.rate.answers, All: r.all, Long: r.long}
}

// Learn takes in what the instance named has learned.
func (p *Pool) Learn(from string, reading Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readings.learn(from, reading, p.now())
}

// longest returns the size from which on a prompt holds other streams up; 0 while that is not
// known.
func (p *Pool) longest(want *Want) float64 {
	if want.TokensPerEvent <= 0 {
		return 0
	}
	step := want.Pause.Seconds() / float64(want.TokensPerEvent)
	return p.readings.perSecond() * longSteps * step
}

// rankEngines puts the engines in the order in which they are given to long prompts, on
// which all instances agree without talk. Instances that see different mixes disagree on
// how many there are, but not on which come first.
func (p *Pool) rankEngines() {
	ranked := slices.Clone(p.list)
	slices.SortFunc(ranked, func(a, b *state) int {
		switch x, y := mix(a.hash^rankKey), mix(b.hash^rankKey); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for rank, s := range ranked {
		s.rank = rank
	}
}

// rankKey makes the order independent of that of any session's homes.
const rankKey = 0x9e3779b97f4a7c15
