package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/rank"
)

// stream is a sequence of requests of one rank at a fixed interval.
type stream struct {
	rank     rank.Rank
	service  string
	groups   []string // for orders
	interval time.Duration
}

// sample is the result of one answered request.
type sample struct {
	rank       rank.Rank
	isOrder    bool
	outcome    string
	coverage   float64 // 0 to 1
	durationMs float64
}

// loadGenerator sends the streams to the fleet until ctx ends, then waits for
// the answers to the open requests.
type loadGenerator struct {
	fleet   *Fleet
	checker *checker
	wg      sync.WaitGroup

	mu         sync.Mutex
	samples    []sample
	lastNumber int
}

func (l *loadGenerator) run(ctx context.Context, streams []stream) {
	for i, s := range streams {
		l.wg.Go(func() { l.sendStream(ctx, s, rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	l.wg.Wait()
}

func (l *loadGenerator) sendStream(ctx context.Context, s stream, rng *rand.Rand) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n := l.nextNumber()
		if s.groups != nil {
			group := s.groups[rng.IntN(len(s.groups))]
			l.wg.Go(func() { l.sendOrder(s, n, group) })
			continue
		}
		l.wg.Go(func() { l.sendQuery(s, n) })
	}
}

func (l *loadGenerator) nextNumber() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	return l.lastNumber
}

func (l *loadGenerator) sendQuery(s stream, n int) {
	q := entry.QueryRequest{
		ID: fmt.Sprintf("demo-%d", n), Rank: s.rank.String(), Service: s.service, Query: json.RawMessage(`{"find":"all"}`),
	}
	start := time.Now()
	a, err := l.fleet.Caller(n).Query(q)
	if err != nil {
		l.checker.addError("query "+q.ID, err)
		return
	}
	l.checker.checkQuery(q, a)
	coverage := 0.0
	if a.Coverage.Expected > 0 {
		coverage = float64(a.Coverage.Covered) / float64(a.Coverage.Expected)
	}
	l.addSample(sample{rank: s.rank, outcome: a.Outcome, coverage: coverage, durationMs: milliseconds(time.Since(start))})
}

func (l *loadGenerator) sendOrder(s stream, n int, group string) {
	o := entry.OrderRequest{
		ID: fmt.Sprintf("%d-demo%d", clock.System{}.Now(), n), Rank: s.rank.String(), Service: s.service,
		Group: group, Body: json.RawMessage(`{"flowers":1}`),
	}
	start := time.Now()
	a, err := l.fleet.Caller(n).Order(o)
	if err != nil {
		l.checker.addError("order "+o.ID, err)
		return
	}
	l.checker.recordOrder(o, a)
	l.addSample(sample{rank: s.rank, isOrder: true, outcome: a.Outcome, coverage: 1, durationMs: milliseconds(time.Since(start))})
	// Every tenth order is repeated through another VM, as a balancer may do.
	if n%10 == 0 {
		if a, err := l.fleet.Caller(n + 1).Order(o); err == nil {
			l.checker.recordOrder(o, a)
		}
	}
}

func (l *loadGenerator) addSample(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
