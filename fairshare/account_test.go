package fairshare_test

import (
	"fmt"
	"math"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fairshare"
)

// serve gives room to the flow with the lowest tag among those that have work, for some
// requests of 10 ms each, and returns how many each got.
func serve(requests int, flows []*fairshare.Flow, work []int) []int {
	got := make([]int, len(flows))
	for i := range requests {
		next := -1
		for j, f := range flows {
			if work[j] > got[j] && (next < 0 || f.Tag() < flows[next].Tag()) {
				next = j
			}
		}
		if next < 0 {
			return got
		}
		got[next]++
		flows[next].Charge(clock.Millis(10*i), 1)
	}
	return got
}

// TestMaxMin guards against shares that are not max-min, and against room that is not lent.
func TestMaxMin(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		work    []int
		want    []int // of 1,000 requests
	}{
		{"alone", []float64{1}, []int{5000}, []int{1000}},
		{"equal", []float64{1, 1}, []int{5000, 5000}, []int{500, 500}},
		{"weighted", []float64{3, 1}, []int{5000, 5000}, []int{750, 250}},
		{"lent", []float64{1, 1, 1}, []int{100, 5000, 5000}, []int{100, 450, 450}},
		{"small before large", []float64{1, 1}, []int{10, 5000}, []int{10, 990}},
		{"weight that is none", []float64{math.NaN(), -1}, []int{5000, 5000}, []int{500, 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a fairshare.Account
			var flows []*fairshare.Flow
			for i, w := range tt.weights {
				flows = append(flows, a.Flow(fmt.Sprint(i), w))
			}
			// The difference is what flows may take ahead of their share: 8 requests and a
			// fifth of their use in the last 10 s.
			for i, got := range serve(1000, flows, tt.work) {
				if want, slack := tt.want[i], 8+tt.want[i]/5; got < want-slack || got > want+slack {
					t.Errorf("flow %d: got %d, want %d within %d", i, got, want, slack)
				}
			}
		})
	}
}

// TestUseForgotten guards against a customer that waits for room that it was given while
// nobody else wanted it.
func TestUseForgotten(t *testing.T) {
	var a fairshare.Account
	first, second := a.Flow("first", 1), a.Flow("second", 1)
	serve(5000, []*fairshare.Flow{first}, []int{5000})
	if got := serve(100, []*fairshare.Flow{first, second}, []int{100, 100}); got[0] < 10 {
		t.Errorf("got %d of 100 requests after use of idle room, want more", got[0])
	}
}

// TestBurstsKeepOrder guards against an order that changes among customers within their
// share.
func TestBurstsKeepOrder(t *testing.T) {
	var a fairshare.Account
	first, second := a.Flow("first", 1), a.Flow("second", 1)
	for i := range 8 {
		if first.Tag() != second.Tag() || first.AboveShare() {
			t.Errorf("request %d: got tags %g and %g, want the same", i, first.Tag(), second.Tag())
		}
		first.Charge(0, 1)
	}
}

// TestScan guards against an estimate that counts all work of a customer above its share as
// ahead of others, and against one that counts none of those within it.
func TestScan(t *testing.T) {
	var a fairshare.Account
	hot, small, other := a.Flow("hot", 1), a.Flow("small", 1), a.Flow("other", 1)
	ahead := func(f, of *fairshare.Flow, n int) int {
		scan, got := f.Before(0), 0
		for range n {
			if scan.Precedes(of, 1) {
				got++
			}
		}
		return got
	}
	if got := ahead(small, hot, 100); got != 9 {
		t.Errorf("got %d requests of a flow without use ahead, want those of its burst, 9", got)
	}
	for range 20 {
		hot.Charge(0, 1)
	}
	if got := ahead(small, hot, 100); got != 0 {
		t.Errorf("got %d requests of a flow above its share ahead, want none", got)
	}
	if got := ahead(hot, small, 5) + ahead(hot, other, 5); got != 10 {
		t.Errorf("got %d requests of others ahead, want 10", got)
	}
}

// TestFlowsBounded guards against memory that grows with the names of customers.
func TestFlowsBounded(t *testing.T) {
	var a fairshare.Account
	for i := range 100_000 {
		f := a.Flow(fmt.Sprint(i), 1)
		f.Charge(clock.Millis(i), 1)
	}
	if got := a.Len(); got > 512 {
		t.Errorf("got %d flows, want at most 512", got)
	}
}

func BenchmarkDecision(b *testing.B) {
	var a fairshare.Account
	flows := make([]*fairshare.Flow, 81)
	for i := range flows {
		flows[i] = a.Flow(fmt.Sprint("customer-", i), 1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f := a.Flow("customer-7", 1)
		if f.Tag() <= flows[i%len(flows)].Tag() {
			f.Charge(clock.Millis(i), 1)
		}
	}
}

// BenchmarkScan measures the scan of 30 waiting requests of as many customers.
func BenchmarkScan(b *testing.B) {
	var a fairshare.Account
	flows := make([]*fairshare.Flow, 30)
	for i := range flows {
		flows[i] = a.Flow(fmt.Sprint("customer-", i), 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		scan := flows[0].Before(0)
		for _, f := range flows {
			scan.Precedes(f, 1)
		}
	}
}
