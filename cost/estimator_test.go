package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
)

const startMs clock.Millis = 1_700_000_000_000

func keysOf(route, customer, path string) cost.Keys {
	return cost.KeysOf(cost.Features{Route: route, Customer: customer, Method: "GET", Path: path})
}

// teach adds n requests whose work is drawn.
func teach(e *cost.Estimator, now clock.Millis, n int, next func(i int) (cost.Keys, float64)) {
	for i := range n {
		k, ms := next(i)
		e.Add(now+clock.Millis(i), &k, ms)
	}
}

func within(got, want, share float64) bool { return math.Abs(got-want) <= share*want }

// TestEstimate guards against an estimator that misses a feature that indicates the cost, or
// that trusts thin evidence.
func TestEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	spread := func(ms float64) float64 { return ms * (0.8 + 0.4*rng.Float64()) }
	byPath := func(i int) (cost.Keys, float64) {
		if i%4 == 0 {
			return keysOf("r", "", fmt.Sprintf("report/%d", i)), spread(200)
		}
		return keysOf("r", "", fmt.Sprintf("item/%d", i)), spread(10)
	}
	byCustomer := func(i int) (cost.Keys, float64) {
		if i%4 == 0 {
			return keysOf("r", "archive", fmt.Sprint(i)), spread(200)
		}
		return keysOf("r", "shop", fmt.Sprint(i)), spread(10)
	}
	bySize := func(i int) (cost.Keys, float64) {
		f, ms := cost.Features{Route: "r", Path: fmt.Sprint(1000 + i), BodyBytes: 100}, 10.0
		if i%4 == 0 {
			f.BodyBytes, ms = 100_000, 200
		}
		return cost.KeysOf(f), spread(ms)
	}
	bySame := func(i int) (cost.Keys, float64) {
		if i%4 == 0 {
			return keysOf("r", "", "x/7"), spread(200)
		}
		return keysOf("r", "", fmt.Sprintf("x/%d", 8+i%40)), spread(10)
	}
	bySecond := func(i int) (cost.Keys, float64) {
		if i%4 == 0 {
			return keysOf("r", "", fmt.Sprintf("find?kind=all&n=%d", i)), spread(200)
		}
		return keysOf("r", "", fmt.Sprintf("find?kind=one&n=%d", i)), spread(10)
	}
	const mixMs = (200 + 3*10) / 4.0
	tests := []struct {
		name   string
		next   func(int) (cost.Keys, float64)
		asked  cost.Keys
		wantMs float64
	}{
		{"dear by path", byPath, keysOf("r", "", "report/new"), 200},
		{"cheap by path", byPath, keysOf("r", "", "item/new"), 10},
		{"path not seen", byPath, keysOf("r", "", "others/55"), mixMs},
		{"dear by customer", byCustomer, keysOf("r", "archive", "new"), 200},
		{"cheap by customer", byCustomer, keysOf("r", "shop", "new"), 10},
		{"dear by size", bySize, cost.KeysOf(cost.Features{Route: "r", Path: "5555", BodyBytes: 99_000}), 200},
		{"dear by the same request", bySame, keysOf("r", "", "x/7"), 200},
		{"cheap by the same request", bySame, keysOf("r", "", "x/9"), 10},
		{"dear by a parameter", bySecond, keysOf("r", "", "find?kind=all&n=x"), 200},
		{"cheap by a parameter", bySecond, keysOf("r", "", "find?kind=one&n=x"), 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := cost.New()
			teach(e, startMs, 3000, tt.next)
			got := e.Estimate(startMs+3000, &tt.asked)
			if !got.Known() || !within(got.MeanMs(), tt.wantMs, 0.5) {
				t.Errorf("got a mean of %.1f ms, known %t, want %.1f or half as much off", got.MeanMs(), got.Known(), tt.wantMs)
			}
		})
	}
}

// TestThinEvidence guards against a cold start that estimates anything, and against one
// sample that outweighs the route.
func TestThinEvidence(t *testing.T) {
	e := cost.New()
	k := keysOf("r", "", "a")
	if got := e.Estimate(startMs, &k); got.Known() || got.MeanMs() != 0 || got.RemainingMs(5) < 0 {
		t.Errorf("got %+v before the first sample, want nothing known", got)
	}
	teach(e, startMs, 15, func(int) (cost.Keys, float64) { return k, 10 })
	if got := e.Estimate(startMs+20, &k); got.Known() {
		t.Error("got an estimate after 15 samples, want none")
	}
	teach(e, startMs, 500, func(i int) (cost.Keys, float64) { return keysOf("r", "", fmt.Sprint(i)), 10 })
	odd := keysOf("r", "", "odd")
	e.Add(startMs+600, &odd, 1000)
	got := e.Estimate(startMs+600, &odd)
	if got.MedianMs() > 20 {
		t.Errorf("got a median of %.1f ms after one sample of 1000 ms, want that of the route, 10", got.MedianMs())
	}
}

// TestTellsNothing guards against features without information that move estimates: the
// error may be at most a fiftieth above that of the route's own mean.
func TestTellsNothing(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 2))
		e := cost.New()
		sum, byRoute, byEstimate := 0.0, 0.0, 0.0
		for i := range 6000 {
			k := keysOf("r", fmt.Sprint("c", rng.IntN(5)), fmt.Sprintf("p%d/%d", rng.IntN(8), rng.IntN(300)))
			ms := 10.0
			if rng.IntN(5) == 0 {
				ms = 100
			}
			now := startMs + clock.Millis(i)
			if i > 1000 {
				est := e.Estimate(now, &k)
				byRoute += math.Pow(ms-sum/float64(i), 2)
				byEstimate += math.Pow(ms-est.MeanMs(), 2)
			}
			e.Add(now, &k, ms)
			sum += ms
		}
		if byEstimate > 1.02*byRoute {
			t.Errorf("seed %d: got a squared error %.3f times that of the route's mean, want at most 1.02", seed, byEstimate/byRoute)
		}
	}
}

// TestDistribution guards against a wrong quantile, or remaining work that is not that of
// the requests that are still running.
func TestDistribution(t *testing.T) {
	e := cost.New()
	k := keysOf("r", "", "a")
	teach(e, startMs, 2000, func(i int) (cost.Keys, float64) {
		if i%5 == 0 {
			return k, 400
		}
		return k, 10
	})
	est := e.Estimate(startMs+2000, &k)
	limited := est
	limited.Limit(50)
	tests := []struct {
		name      string
		got       float64
		low, high float64
	}{
		{"mean with a limit", limited.MeanMs(), 50, 50},
		{"median below the limit", limited.MedianMs(), 7, 15},
		{"high with a limit", limited.HighMs(), 50, 50},
		{"remaining with a limit", limited.RemainingMs(100), 50, 50},
		{"mean", est.MeanMs(), 75, 100},
		{"median", est.MedianMs(), 7, 15},
		{"high", est.HighMs(), 300, 600},
		{"remaining at once", est.RemainingMs(0), 75, 100},
		{"remaining of a dear one", est.RemainingMs(100), 250, 400},
		{"remaining after all before", est.RemainingMs(4000), 400, 8000},
		{"remaining after a year", est.RemainingMs(365 * 24 * clock.Hour), 0, math.MaxFloat64},
	}
	for _, tt := range tests {
		if !(tt.got >= tt.low && tt.got <= tt.high) {
			t.Errorf("%s: got %.1f ms, want %.0f to %.0f", tt.name, tt.got, tt.low, tt.high)
		}
	}
}

// TestFades guards against knowledge that outlives a change of the cost.
func TestFades(t *testing.T) {
	change := func(gap clock.Millis, after int) float64 {
		e := cost.New()
		k := keysOf("r", "", "a")
		now := startMs
		for range 5000 {
			now++
			e.Add(now, &k, 10)
		}
		now += gap
		for range after {
			now++
			e.Add(now, &k, 100)
		}
		est := e.Estimate(now, &k)
		return est.MedianMs()
	}
	if got := change(0, 400); got < 50 {
		t.Errorf("got a median of %.1f ms after 400 samples of 100 ms, want about 100", got)
	}
	if got := change(2*clock.Hour, 20); got < 50 {
		t.Errorf("got a median of %.1f ms after 20 samples of 100 ms and two hours of silence, want about 100", got)
	}
}

// TestOddInput guards against input that takes memory, or that leaves an estimate that is
// no number.
func TestOddInput(t *testing.T) {
	e := cost.New()
	good := keysOf("r", "shop", "item/1")
	teach(e, startMs, 200, func(int) (cost.Keys, float64) { return good, 10 })
	long := strings.Repeat("/", 100_000)
	for _, ms := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		e.Add(startMs+300, &good, ms)
	}
	if got := e.Estimate(startMs+300, &good); !within(got.MeanMs(), 10, 0.2) {
		t.Errorf("got %.1f ms after values that are no time, want 10", got.MeanMs())
	}
	longKeys := cost.KeysOf(cost.Features{Route: "r", Path: long, BodyBytes: -1})
	allocs := testing.AllocsPerRun(100, func() {
		k := cost.KeysOf(cost.Features{Route: "r", Path: long, BodyBytes: math.MaxInt})
		e.Add(startMs, &k, 10)
		e.Estimate(startMs, &k)
	})
	if allocs != 0 {
		t.Errorf("got %.0f allocations for a path of 100 KB, want 0", allocs)
	}
	for i := range 1_000_000 {
		k := longKeys
		for level := range k {
			k[level] += uint64(i) * 0x9e3779b97f4a7c15
		}
		k[0] = good[0]
		e.Add(startMs+400, &k, 10)
	}
	steps := []clock.Millis{startMs, 0, -startMs, math.MinInt64, math.MaxInt64, startMs + clock.Hour, startMs}
	for _, now := range steps {
		for _, ms := range []float64{0, 1e-300, 5, 1e300} {
			e.Add(now, &good, ms)
			got := e.Estimate(now, &good)
			for _, x := range []float64{got.MeanMs(), got.MedianMs(), got.HighMs(), got.RemainingMs(now), got.RemainingMs(1)} {
				if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
					t.Fatalf("got %v at %d, want a time", x, now)
				}
			}
		}
	}
}

// TestFloodOfPaths guards against a flood of different paths, or of routes, that drives out
// what is known of the others.
func TestFloodOfPaths(t *testing.T) {
	e := cost.New()
	next := func(i int) (cost.Keys, float64) {
		if i%2 == 0 {
			return keysOf("r", "", "report"), 200
		}
		return keysOf("r", "", "item"), 10
	}
	teach(e, startMs, 1000, next)
	teach(e, startMs+1000, 1_000_000, func(i int) (cost.Keys, float64) {
		return keysOf("r", "", fmt.Sprintf("%d/%d", i, i)), 10
	})
	// 1,000 s have passed, and cells fade: the path is seen again a few times.
	teach(e, startMs+1_001_000, 40, next)
	k := keysOf("r", "", "report")
	if got := e.Estimate(startMs+1_002_000, &k); !within(got.MedianMs(), 200, 0.3) {
		t.Errorf("got a median of %.1f ms, want 200", got.MedianMs())
	}
	if cost.Bytes > 1<<20 {
		t.Errorf("got %d bytes, want at most a megabyte", cost.Bytes)
	}
}

// TestEstimateKeys guards against features that share a key, and against keys that differ between
// VMs: those of a request travel with its delegation.
func TestEstimateKeys(t *testing.T) {
	base := cost.Features{Route: "r", Customer: "c", Method: "GET", Path: "a/b?x=1&y=2", BodyBytes: 5}
	k := cost.KeysOf(base)
	if k != cost.KeysOf(base) {
		t.Error("got different keys of one request")
	}
	seen := map[uint64]int{}
	for level, key := range k {
		if other, ok := seen[key]; ok {
			t.Errorf("got the same key at levels %d and %d", level, other)
		}
		seen[key] = level
	}
	changes := []struct {
		name   string
		change func(*cost.Features)
		want   [6]bool // levels whose key changes
	}{
		{"customer", func(f *cost.Features) { f.Customer = "d" }, [6]bool{1: true}},
		{"method", func(f *cost.Features) { f.Method = "PUT" }, [6]bool{5: true}},
		{"body", func(f *cost.Features) { f.BodyBytes = 5000 }, [6]bool{2: true, 5: true}},
		{"body of about the same size", func(f *cost.Features) { f.BodyBytes = 6 }, [6]bool{5: true}},
		{"end of the path", func(f *cost.Features) { f.Path = "a/b?x=1&y=3" }, [6]bool{5: true}},
		{"second part", func(f *cost.Features) { f.Path = "a/c?x=1&y=2" }, [6]bool{4: true, 5: true}},
		{"route", func(f *cost.Features) { f.Route = "s" }, [6]bool{true, true, true, true, true, true}},
	}
	for _, tt := range changes {
		f := base
		tt.change(&f)
		other := cost.KeysOf(f)
		for level := range k {
			if got := k[level] != other[level]; got != tt.want[level] {
				t.Errorf("%s: got a change at level %d %t, want %t", tt.name, level, got, tt.want[level])
			}
		}
	}
}

// FuzzEstimate guards against any sequence of samples that leaves an estimate that is no
// time.
func FuzzEstimate(f *testing.F) {
	f.Add(int64(0), int64(1), 5.0, 500.0, "a/b")
	f.Add(int64(math.MaxInt64), int64(math.MinInt64), 0.0, 1e308, "")
	f.Fuzz(func(t *testing.T, a, b int64, x, y float64, path string) {
		e := cost.New()
		k := keysOf("r", "", path)
		for i := range 40 {
			now, ms := clock.Millis(a), x
			if i%2 == 0 {
				now, ms = clock.Millis(b), y
			}
			e.Add(now, &k, ms)
			got := e.Estimate(now, &k)
			for _, v := range []float64{got.MeanMs(), got.MedianMs(), got.HighMs(), got.RemainingMs(now), got.RemainingMs(clock.Millis(b))} {
				if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
					t.Fatalf("got %v, want a time", v)
				}
			}
		}
	})
}

// BenchmarkEstimate measures the keys and the estimate of a request whose keys are all known.
func BenchmarkEstimate(b *testing.B) {
	e := cost.New()
	f := cost.Features{Route: "search", Customer: "shop", Method: "GET", Path: "find/item?kind=all&n=123456", BodyBytes: 300}
	k := cost.KeysOf(f)
	teach(e, startMs, 1000, func(int) (cost.Keys, float64) { return k, 10 })
	b.ReportAllocs()
	for b.Loop() {
		k := cost.KeysOf(f)
		e.Estimate(startMs+1000, &k)
	}
}

// BenchmarkAdd measures a sample.
func BenchmarkAdd(b *testing.B) {
	e := cost.New()
	k := keysOf("search", "shop", "find/item?kind=all")
	b.ReportAllocs()
	for now := startMs; b.Loop(); now++ {
		e.Add(now, &k, float64(now%100))
	}
}
