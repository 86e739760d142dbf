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
	spreadMs  = 3  // times lie evenly between serviceMs-spreadMs and serviceMs+spreadMs
)

// floodQuery is one query.
type floodQuery struct {
	id       string
	rank     rank.Rank
	deadline clock.Millis
	admitted clock.Millis
	left     int
	waitedMs clock.Millis // of all sub-requests
}

// job is one sub-request.
type job struct {
	query *floodQuery
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

// flood drives one gate against a fake service in virtual time. The service
// has a fixed number of workers and a first-in, first-out queue.
type flood struct {
	gate    *admission.Controller
	cost    int
	workers int
	rng     *rand.Rand
	now     clock.Millis
	seq     int
	offered rank.Table[float64] // queries per ms
	open    map[string]*floodQuery
	waiting []job
	busy    jobHeap
	good    rank.Table[int] // finished in time
	refused rank.Table[int]
	limits  int
	samples int
}

func floodPolicy() preset.Preset {
	return preset.Preset{
		Urgent:   preset.RankPolicy{DeadlineMs: 500, FloorPercent: 40, QueueRequests: 500},
		Ordinary: preset.RankPolicy{DeadlineMs: 2000, FloorPercent: 25, QueueRequests: 500},
		Patient:  preset.RankPolicy{DeadlineMs: 30_000, FloorPercent: 10, QueueRequests: 2000},
	}
}

func newFlood(seed uint64, initial, workers, cost int) *flood {
	return &flood{
		cost: cost, workers: workers,
		gate: admission.New(admission.WithService(svc, initial, 10_000), admission.WithPreset(floodPolicy())),
		rng:  rand.New(rand.NewPCG(seed, 1)), open: map[string]*floodQuery{},
	}
}

func (f *flood) run(ms clock.Millis) {
	for end := f.now + ms; f.now < end; f.now++ {
		f.finish()
		for _, r := range rank.All() {
			for range f.arrivals(f.offered.At(r)) {
				f.arrive(r)
			}
		}
		if at, ok := f.gate.NextWake(); ok && at <= f.now {
			f.perform(admission.TickMsg{})
		}
		f.serve()
		f.limits += f.gate.Limit(svc)
		f.samples++
	}
}

// arrivals draws from a Poisson distribution with the given mean per ms.
func (f *flood) arrivals(mean float64) int {
	n, product := 0, f.rng.Float64()
	for product > math.Exp(-mean) {
		n++
		product *= f.rng.Float64()
	}
	return n
}

func (f *flood) arrive(r rank.Rank) {
	f.seq++
	id := strconv.Itoa(f.seq)
	f.open[id] = &floodQuery{id: id, rank: r, left: f.cost}
	f.perform(admission.ArrivalMsg{ID: id, Rank: r, Service: svc, Cost: f.cost})
}

func (f *flood) perform(m admission.Msg) {
	for _, c := range f.gate.Update(f.now, m) {
		switch c := c.(type) {
		case admission.AdmitCmd:
			q := f.open[c.ID]
			q.deadline, q.admitted = c.Deadline, f.now
			for range f.cost {
				f.waiting = append(f.waiting, job{query: q})
			}
			delete(f.open, c.ID)
		case admission.RefuseCmd:
			*f.refused.Ref(f.open[c.ID].rank)++
			delete(f.open, c.ID)
		}
	}
}

func (f *flood) serve() {
	for len(f.waiting) > 0 && len(f.busy) < f.workers {
		j := f.waiting[0]
		f.waiting = f.waiting[1:]
		j.query.waitedMs += f.now - j.query.admitted
		j.ends = f.now + serviceMs - spreadMs + clock.Millis(f.rng.IntN(2*spreadMs+1))
		heap.Push(&f.busy, j)
	}
}

func (f *flood) finish() {
	for len(f.busy) > 0 && f.busy[0].ends <= f.now {
		q := heap.Pop(&f.busy).(job).query
		f.serve()
		if q.left--; q.left > 0 {
			continue
		}
		if f.now <= q.deadline {
			*f.good.Ref(q.rank)++
		}
		f.perform(admission.DoneMsg{ID: q.id, QueueMs: q.waitedMs / clock.Millis(f.cost), ElapsedMs: f.now - q.admitted})
	}
}

// capacity returns the queries per ms that the service can do.
func (f *flood) capacity() float64 { return float64(f.workers) / float64(f.cost) / serviceMs }

// heldCapacity returns the running cost that keeps all workers busy without a
// queue. A query holds its whole cost until its last sub-request ends, so this
// exceeds the workers by the unloaded time of a query over that of a sub-request.
func (f *flood) heldCapacity() float64 {
	const values = 2*spreadMs + 1
	queryMs := float64(serviceMs + spreadMs)
	for k := 1; k < values; k++ {
		queryMs -= math.Pow(float64(k)/values, float64(f.cost))
	}
	return float64(f.workers) * queryMs / serviceMs
}

// offer sets the arrivals of each rank as multiples of the capacity.
func (f *flood) offer(urgent, ordinary, patient float64) {
	c := f.capacity()
	f.offered = rank.NewTable(urgent*c, ordinary*c, patient*c)
}

// measure forgets what was counted so far, runs and returns goodput by rank as
// a share of capacity, and the mean limit as a multiple of the real capacity.
func (f *flood) measure(ms clock.Millis) (good rank.Table[float64], limit float64) {
	f.good, f.refused = rank.Table[int]{}, rank.Table[int]{}
	f.limits, f.samples = 0, 0
	f.run(ms)
	for _, r := range rank.All() {
		good.Set(r, float64(f.good.At(r))/float64(ms)/f.capacity())
	}
	return good, float64(f.limits) / float64(f.samples) / f.heldCapacity()
}

// TestFloods guards against a flood of one rank taking the service of the
// others or of itself, from a limit that starts too low and one far too high.
// With 20 sub-requests a query, the floors are no whole numbers of queries.
func TestFloods(t *testing.T) {
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
				f := newFlood(seed, tt.initial, tt.workers, tt.cost)
				f.checkPatientFlood(t)
				f.checkUrgentFlood(t)
			}
		})
	}
}

func (f *flood) checkPatientFlood(t *testing.T) {
	t.Helper()
	f.offer(0.2, 0.4, 5)
	f.run(5000)
	good, limit := f.measure(10_000)
	t.Logf("patient flood: good %.3f limit %.2f refused %v", good, limit, f.refused)
	if got := f.refused.At(rank.Urgent); got != 0 {
		t.Errorf("patient flood: got %d urgent refused, want 0", got)
	}
	// Ordinary is offered more than its floor and urgent less than its own.
	if got, want := good.At(rank.Ordinary), floodPolicy().Ordinary.FloorPercent/100; got < want {
		t.Errorf("patient flood: got ordinary %.3f of capacity, want at least %.3f", got, want)
	}
	checkLimit(t, limit)
}

func (f *flood) checkUrgentFlood(t *testing.T) {
	t.Helper()
	f.offer(5, 0.5, 0.5)
	f.run(5000)
	good, limit := f.measure(10_000)
	t.Logf("urgent flood: good %.3f limit %.2f refused %v", good, limit, f.refused)
	floors := floodPolicy()
	total := 0.0
	for _, r := range rank.All() {
		total += good.At(r)
		if got, want := good.At(r), 0.9*floors.Policy(r).FloorPercent/100; got < want {
			t.Errorf("urgent flood: got %s %.3f of capacity, want at least %.3f", r, got, want)
		}
	}
	if total < 0.9 {
		t.Errorf("urgent flood: got goodput %.3f of capacity, want at least 0.9", total)
	}
	checkLimit(t, limit)
}

// checkLimit allows for the concurrency that fills the target wait: 4 ms beside 10 ms
// of service.
func checkLimit(t *testing.T, limit float64) {
	t.Helper()
	if limit < 0.9 || limit > 1.5 {
		t.Errorf("got mean limit %.2f of the capacity, want 0.9 to 1.5", limit)
	}
}
