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

// stream is one steady flow of requests of one rank.
type stream struct {
	rank     rank.Rank
	service  string
	groups   []string // for orders
	interval time.Duration
}

// sample is one answered request.
type sample struct {
	rank    rank.Rank
	isOrder bool
	outcome string
	share   float64 // coverage, 0 to 1
	tookMs  float64
}

// load sends the streams to the fleet until ctx ends. Requests that are open
// then are answered before it returns.
type load struct {
	fleet   *Fleet
	checker *checker
	wait    sync.WaitGroup

	mu      sync.Mutex
	samples []sample
	next    int
}

func (l *load) run(ctx context.Context, streams []stream) {
	for i, s := range streams {
		l.wait.Go(func() { l.send(ctx, s, rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	l.wait.Wait()
}

func (l *load) send(ctx context.Context, s stream, rng *rand.Rand) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n := l.number()
		if s.groups != nil {
			group := s.groups[rng.IntN(len(s.groups))]
			l.wait.Go(func() { l.order(s, n, group) })
			continue
		}
		l.wait.Go(func() { l.query(s, n) })
	}
}

func (l *load) number() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next
}

func (l *load) query(s stream, n int) {
	q := entry.QueryRequest{
		ID: fmt.Sprintf("demo-%d", n), Rank: s.rank.String(), Service: s.service, Query: json.RawMessage(`{"find":"all"}`),
	}
	start := time.Now()
	a, err := l.fleet.Caller(n).Query(q)
	if err != nil {
		l.checker.failed("query "+q.ID, err)
		return
	}
	l.checker.query(q, a)
	share := 0.0
	if a.Coverage.Expected > 0 {
		share = float64(a.Coverage.Covered) / float64(a.Coverage.Expected)
	}
	l.add(sample{rank: s.rank, outcome: a.Outcome, share: share, tookMs: milliseconds(time.Since(start))})
}

func (l *load) order(s stream, n int, group string) {
	o := entry.OrderRequest{
		ID: fmt.Sprintf("%d-demo%d", clock.System{}.Now(), n), Rank: s.rank.String(), Service: s.service,
		Group: group, Body: json.RawMessage(`{"flowers":1}`),
	}
	start := time.Now()
	a, err := l.fleet.Caller(n).Order(o)
	if err != nil {
		l.checker.failed("order "+o.ID, err)
		return
	}
	l.checker.order(o, a)
	l.add(sample{rank: s.rank, isOrder: true, outcome: a.Outcome, share: 1, tookMs: milliseconds(time.Since(start))})
	// Every tenth order is repeated through another VM, as a balancer may do.
	if n%10 == 0 {
		if a, err := l.fleet.Caller(n + 1).Order(o); err == nil {
			l.checker.order(o, a)
		}
	}
}

func (l *load) add(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
