package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

const (
	serviceMs = 10 // mean time of one sub-request
	spreadMs  = 3  // times are uniform between serviceMs-spreadMs and serviceMs+spreadMs
)

type simQuery struct {
	id         string
	rank       rank.Rank
	deadline   clock.Millis
	admittedAt clock.Millis
	remaining  int
	waitedMs   clock.Millis // sum over all sub-requests
}

// job is one sub-request.
type job struct {
	query *simQuery
	ends  clock.Millis
}

type jobHeap []job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation runs one Controller against a simulated service in virtual time. The
// service has a fixed number of workers and a FIFO queue.
type simulation struct {
	controller   *admission.Controller
	cost         int
	workers      int
	rng          *rand.Rand
	now          clock.Millis
	seq          int
	arrivalRate  rank.Table[float64] // queries per ms
	undecided    map[string]*simQuery
	waiting      []job
	running      jobHeap
	inTime       rank.Table[int] // completed by their deadline
	refused      rank.Table[int]
	limitSum     int
	limitSamples int
}

func overloadPreset() preset.Preset {
	return preset.Preset{
		Urgent:   preset.RankPolicy{DeadlineMs: 500, FloorPercent: 40, QueueRequests: 500},
		Ordinary: preset.RankPolicy{DeadlineMs: 2000, FloorPercent: 25, QueueRequests: 500},
		Patient:  preset.RankPolicy{DeadlineMs: 30_000, FloorPercent: 10, QueueRequests: 2000},
	}
}

func newSimulation(seed uint64, initial, workers, cost int) *simulation {
	return &simulation{
		cost: cost, workers: workers,
		controller: admission.New(admission.WithService(testService, initial, 10_000), admission.WithPreset(overloadPreset())),
		rng:        rand.New(rand.NewPCG(seed, 1)), undecided: map[string]*simQuery{},
	}
}

func (s *simulation) run(ms clock.Millis) {
	for end := s.now + ms; s.now < end; s.now++ {
		s.finish()
		for _, r := range rank.All() {
			for range s.arrivals(s.arrivalRate.At(r)) {
				s.arrive(r)
			}
		}
		if at, ok := s.controller.NextWake(); ok && at <= s.now {
			s.perform(admission.TickMsg{})
		}
		s.serve()
		s.limitSum += s.controller.Limit(testService)
		s.limitSamples++
	}
}

// arrivals draws from a Poisson distribution with the given mean per ms.
func (s *simulation) arrivals(mean float64) int {
	n, product := 0, s.rng.Float64()
	for product > math.Exp(-mean) {
		n++
		product *= s.rng.Float64()
	}
	return n
}

func (s *simulation) arrive(r rank.Rank) {
	s.seq++
	id := strconv.Itoa(s.seq)
	s.undecided[id] = &simQuery{id: id, rank: r, remaining: s.cost}
	s.perform(admission.ArrivalMsg{ID: id, Rank: r, Service: testService, Cost: s.cost})
}

func (s *simulation) perform(m admission.Msg) {
	for _, c := range s.controller.Update(s.now, m) {
		switch c := c.(type) {
		case admission.AdmitCmd:
			q := s.undecided[c.ID]
			q.deadline, q.admittedAt = c.Deadline, s.now
			for range s.cost {
				s.waiting = append(s.waiting, job{query: q})
			}
			delete(s.undecided, c.ID)
		case admission.RefuseCmd:
			*s.refused.Ref(s.undecided[c.ID].rank)++
			delete(s.undecided, c.ID)
		}
	}
}

func (s *simulation) serve() {
	for len(s.waiting) > 0 && len(s.running) < s.workers {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		j.query.waitedMs += s.now - j.query.admittedAt
		j.ends = s.now + serviceMs - spreadMs + clock.Millis(s.rng.IntN(2*spreadMs+1))
		heap.Push(&s.running, j)
	}
}

func (s *simulation) finish() {
	for len(s.running) > 0 && s.running[0].ends <= s.now {
		q := heap.Pop(&s.running).(job).query
		s.serve()
		if q.remaining--; q.remaining > 0 {
			continue
		}
		if s.now <= q.deadline {
			*s.inTime.Ref(q.rank)++
		}
		s.perform(admission.DoneMsg{ID: q.id, QueueMs: q.waitedMs / clock.Millis(s.cost), ElapsedMs: s.now - q.admittedAt})
	}
}

// capacity returns the maximum throughput of the service in queries per ms.
func (s *simulation) capacity() float64 { return float64(s.workers) / float64(s.cost) / serviceMs }

// idealLimit returns the running cost that keeps all workers busy without a queue.
// A query holds its whole cost until its last sub-request ends, so the ideal limit
// exceeds the number of workers by the ratio of the unloaded time of a query to
// that of a sub-request.
func (s *simulation) idealLimit() float64 {
	const values = 2*spreadMs + 1
	queryMs := float64(serviceMs + spreadMs)
	for k := 1; k < values; k++ {
		queryMs -= math.Pow(float64(k)/values, float64(s.cost))
	}
	return float64(s.workers) * queryMs / serviceMs
}

// setLoad sets the arrival rate of each rank as a multiple of the capacity.
func (s *simulation) setLoad(urgent, ordinary, patient float64) {
	c := s.capacity()
	s.arrivalRate = rank.NewTable(urgent*c, ordinary*c, patient*c)
}

// measure resets the counters, runs, and returns the goodput by rank as a share of
// capacity, and the mean limit as a multiple of the ideal limit.
func (s *simulation) measure(ms clock.Millis) (goodput rank.Table[float64], limit float64) {
	s.inTime, s.refused = rank.Table[int]{}, rank.Table[int]{}
	s.limitSum, s.limitSamples = 0, 0
	s.run(ms)
	for _, r := range rank.All() {
		goodput.Set(r, float64(s.inTime.At(r))/float64(ms)/s.capacity())
	}
	return goodput, float64(s.limitSum) / float64(s.limitSamples) / s.idealLimit()
}

// TestOverload guards against an overload by one rank that starves the others or
// itself, with an initial limit that is too low and one that is far too high. With
// a fan-out of 20 sub-requests, the floors are not whole numbers of queries.
func TestOverload(t *testing.T) {
	tests := []struct {
		name                   string
		initial, workers, cost int
	}{
		{"limit starts low", 10, 20, 1},
		{"limit starts high", 500, 20, 1},
		{"fan-out of 20, limit starts low", 60, 110, 20},
		{"fan-out of 20, limit starts high", 1000, 110, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				s := newSimulation(seed, tt.initial, tt.workers, tt.cost)
				s.checkPatientOverload(t)
				s.checkUrgentOverload(t)
			}
		})
	}
}

func (s *simulation) checkPatientOverload(t *testing.T) {
	t.Helper()
	s.setLoad(0.2, 0.4, 5)
	s.run(5000)
	goodput, limit := s.measure(10_000)
	t.Logf("patient overload: goodput %.3f limit %.2f refused %v", goodput, limit, s.refused)
	if got := s.refused.At(rank.Urgent); got != 0 {
		t.Errorf("patient overload: got %d urgent queries refused, want 0", got)
	}
	// The ordinary load exceeds its floor; the urgent load is below its own.
	if got, want := goodput.At(rank.Ordinary), overloadPreset().Ordinary.FloorPercent/100; got < want {
		t.Errorf("patient overload: got ordinary goodput of %.3f of capacity, want at least %.3f", got, want)
	}
	checkLimit(t, limit)
}

func (s *simulation) checkUrgentOverload(t *testing.T) {
	t.Helper()
	s.setLoad(5, 0.5, 0.5)
	s.run(5000)
	goodput, limit := s.measure(10_000)
	t.Logf("urgent overload: goodput %.3f limit %.2f refused %v", goodput, limit, s.refused)
	floors := overloadPreset()
	total := 0.0
	for _, r := range rank.All() {
		total += goodput.At(r)
		if got, want := goodput.At(r), 0.9*floors.Policy(r).FloorPercent/100; got < want {
			t.Errorf("urgent overload: got %s goodput of %.3f of capacity, want at least %.3f", r, got, want)
		}
	}
	if total < 0.9 {
		t.Errorf("urgent overload: got goodput %.3f of capacity, want at least 0.9", total)
	}
	checkLimit(t, limit)
}

// checkLimit allows for the concurrency that the target wait adds: 4 ms on top of
// 10 ms of service time.
func checkLimit(t *testing.T, limit float64) {
	t.Helper()
	if limit < 0.9 || limit > 1.5 {
		t.Errorf("got mean limit of %.2f times the ideal limit, want 0.9 to 1.5", limit)
	}
}
