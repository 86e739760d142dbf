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

// The fake service has a fixed number of workers and a first-in, first-out queue.
const (
	workers   = 20
	serviceMs = 10 // its capacity is 2 queries per ms
	capacity  = float64(workers) / serviceMs
)

type job struct {
	id       string
	rank     rank.Rank
	deadline clock.Millis
	admitted clock.Millis
	begun    clock.Millis
	ends     clock.Millis
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

// flood drives one gate against the fake service in virtual time.
type flood struct {
	gate    *admission.Gate
	rng     *rand.Rand
	now     clock.Millis
	seq     int
	offered rank.Table[float64] // queries per ms
	open    map[string]job
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

func newFlood(seed uint64, initial int, offered rank.Table[float64]) *flood {
	return &flood{
		gate: admission.New(admission.WithService(svc, initial, 10_000), admission.WithPolicy(floodPolicy())),
		rng:  rand.New(rand.NewPCG(seed, 1)), offered: offered, open: map[string]job{},
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
	f.open[id] = job{id: id, rank: r}
	f.perform(admission.ArriveMsg{ID: id, Rank: r, Service: svc, Cost: 1})
}

func (f *flood) perform(m admission.Msg) {
	for _, c := range f.gate.Update(f.now, m) {
		switch c := c.(type) {
		case admission.AdmitCmd:
			j := f.open[c.ID]
			j.deadline, j.admitted = c.Deadline, f.now
			f.waiting = append(f.waiting, j)
			delete(f.open, c.ID)
		case admission.RefuseCmd:
			j := f.open[c.ID]
			*f.refused.Ref(j.rank)++
			delete(f.open, c.ID)
		}
	}
}

func (f *flood) serve() {
	for len(f.waiting) > 0 && len(f.busy) < workers {
		j := f.waiting[0]
		f.waiting = f.waiting[1:]
		j.begun = f.now
		j.ends = f.now + serviceMs - 3 + clock.Millis(f.rng.IntN(7))
		heap.Push(&f.busy, j)
	}
}

func (f *flood) finish() {
	for len(f.busy) > 0 && f.busy[0].ends <= f.now {
		j := heap.Pop(&f.busy).(job)
		if f.now <= j.deadline {
			*f.good.Ref(j.rank)++
		}
		f.serve()
		f.perform(admission.DoneMsg{ID: j.id, QueueMs: j.begun - j.admitted, TookMs: f.now - j.admitted})
	}
}

// measure forgets what was counted so far, runs and returns goodput by rank as
// a share of capacity, and the mean limit as a multiple of the workers.
func (f *flood) measure(ms clock.Millis) (good rank.Table[float64], limit float64) {
	f.good, f.refused = rank.Table[int]{}, rank.Table[int]{}
	f.limits, f.samples = 0, 0
	f.run(ms)
	for _, r := range rank.All() {
		good.Set(r, float64(f.good.At(r))/float64(ms)/capacity)
	}
	return good, float64(f.limits) / float64(f.samples) / workers
}

// TestFloods guards against a flood of one rank taking the service of the
// others or of itself, from a limit that starts too low and one far too high.
func TestFloods(t *testing.T) {
	floors := floodPolicy()
	for _, initial := range []int{10, 500} {
		for seed := uint64(1); seed <= 3; seed++ {
			f := newFlood(seed, initial, rank.NewTable(0.2*capacity, 0.4*capacity, 5*capacity))
			f.run(5000)
			good, limit := f.measure(10_000)
			t.Logf("start %d seed %d patient flood: good %.3f limit %.2f refused %v", initial, seed, good, limit, f.refused)
			if got := f.refused.At(rank.Urgent); got != 0 {
				t.Errorf("patient flood: got %d urgent refused, want 0", got)
			}
			// Ordinary is offered more than its floor and urgent less than its own.
			if got, want := good.At(rank.Ordinary), floors.Ordinary.FloorPercent/100; got < want {
				t.Errorf("patient flood: got ordinary %.3f of capacity, want at least %.3f", got, want)
			}
			checkLimit(t, limit)

			f.offered = rank.NewTable(5*capacity, 0.5*capacity, 0.5*capacity)
			f.run(5000)
			good, limit = f.measure(10_000)
			t.Logf("start %d seed %d urgent flood: good %.3f limit %.2f refused %v", initial, seed, good, limit, f.refused)
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
	}
}

// checkLimit allows for the concurrency that fills the target wait: 4 ms of 10 ms.
func checkLimit(t *testing.T, limit float64) {
	t.Helper()
	if limit < 0.9 || limit > 1.5 {
		t.Errorf("got mean limit %.2f of the workers, want 0.9 to 1.5", limit)
	}
}
