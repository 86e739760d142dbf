package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/vm"
)

// Range and precision of the latency histograms; the maximum is in milliseconds.
const (
	histogramMaxMs  = 600_000
	histogramDigits = 3
)

// RankResult holds the results of one rank over a measured window.
type RankResult struct {
	Sent           int // requests
	Finished       int // complete answers given in the window, also to requests sent before it
	Complete       int
	Partial        int
	Refused        int
	Failed         int
	Open           int // requests without an answer
	Attempts       int
	AttemptsNeeded int
	WastedAttempts int // attempts sent for refused or failed queries
	Latency        *hdrhistogram.Histogram
}

// P99 returns the 99th percentile of the latency of complete and partial answers in milliseconds.
func (r *RankResult) P99() float64 { return float64(r.Latency.ValueAtQuantile(99)) }

// TierLoad sends queries to a Tier as a Poisson process.
type TierLoad struct {
	tier         *Tier
	rng          *rand.Rand
	results      *rank.Table[RankResult]
	violations   []string  // descriptions of invalid answers
	nextReceiver int       // index of the next receiver, modulo the number of receivers
	receivers    []*tierVM // VMs that receive queries, round-robin
}

// NewTierLoad returns a load generator with its own seed.
func NewTierLoad(t *Tier, seed uint64) *TierLoad {
	l := &TierLoad{tier: t, receivers: t.vms, rng: rand.New(rand.NewPCG(seed, 99))}
	l.Reset()
	return l
}

// Reset starts a new window. Only requests sent in the window are counted; answers
// to earlier ones are checked but not counted, except in Finished.
func (l *TierLoad) Reset() {
	l.results = &rank.Table[RankResult]{}
	for _, r := range rank.All() {
		l.results.Set(r, RankResult{Latency: hdrhistogram.New(1, histogramMaxMs, histogramDigits)})
	}
}

// Result returns the results of a rank.
func (l *TierLoad) Result(r rank.Rank) *RankResult { return l.results.Ref(r) }

// Violations describes the invalid answers.
func (l *TierLoad) Violations() []string { return l.violations }

// Send starts a stream of queries with the given rate until end.
func (l *TierLoad) Send(r rank.Rank, perSecond float64, end clock.Millis) {
	if perSecond <= 0 {
		return
	}
	next := float64(l.tier.Loop.Now())
	var arrive func()
	schedule := func() {
		next += -math.Log(1-l.rng.Float64()) * float64(clock.Second) / perSecond
		if at := clock.Millis(next); at < end {
			l.tier.Loop.At(at, arrive)
		}
	}
	arrive = func() {
		l.query(r)
		schedule()
	}
	schedule()
}

// pickVM returns the next VM that is ready, as the platform's load balancer does.
func (l *TierLoad) pickVM() *tierVM {
	for range l.receivers {
		n := l.receivers[l.nextReceiver%len(l.receivers)]
		l.nextReceiver++
		if ready, _ := n.core.Ready(); ready && !n.dead {
			return n
		}
	}
	return l.receivers[l.nextReceiver%len(l.receivers)]
}

func (l *TierLoad) query(r rank.Rank) {
	t := l.tier
	n := l.pickVM()
	t.lastCallID++
	callID, start, result := t.lastCallID, t.Loop.Now(), l.results.Ref(r)
	id := fmt.Sprintf("q%d", callID)
	result.Sent++
	result.Open++
	t.pending[callID] = func(cmd vm.Cmd) {
		result.Open--
		a := cmd.(vm.AnswerQueryCmd).Answer
		if a.Outcome == vm.Complete {
			l.results.Ref(r).Finished++
		}
		l.check(id, a)
		result.record(a, t.Loop.Now()-start)
	}
	n.update(vm.QueryMsg{CallID: callID, ID: id, Rank: r, Service: "search", MinCoverage: -1})
}

func (r *RankResult) record(a vm.QueryAnswer, took clock.Millis) {
	r.Attempts += a.Attempts
	r.AttemptsNeeded += a.AttemptsNeeded
	switch a.Outcome {
	case vm.Complete:
		r.Complete++
	case vm.Partial:
		r.Partial++
	case vm.Refused:
		r.Refused++
		r.WastedAttempts += a.Attempts
		return
	default:
		r.Failed++
		r.WastedAttempts += a.Attempts
		return
	}
	_ = r.Latency.RecordValue(int64(max(took, 1)))
}

// check verifies that an answer belongs to its request and that its coverage adds
// up.
func (l *TierLoad) check(id string, a vm.QueryAnswer) {
	if a.ID != id {
		l.violations = append(l.violations, fmt.Sprintf("query %s received the answer to %s", id, a.ID))
	}
	var missing uint32
	for _, gap := range a.Missing {
		missing += gap.Len()
	}
	switch {
	case a.Covered+missing != a.Expected:
		l.violations = append(l.violations, fmt.Sprintf("query %s: %d covered and %d missing keys, want %d in total", id, a.Covered, missing, a.Expected))
	case a.Outcome == vm.Complete && (missing > 0 || a.Expected == 0):
		l.violations = append(l.violations, id+" is answered as complete, but keys are missing or none were expected")
	}
}
