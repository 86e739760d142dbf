package route_test

import (
	"testing"

	"lentillink.example/lentillink/route"
)

func newTable() *route.Table {
	return route.NewTable(route.Config{Version: 3, Routes: []route.Route{
		{Name: "root", Host: "a.example", Prefix: "/", Service: "s"},
		{Name: "plots", Host: "a.example", Prefix: "/plots/", Service: "s"},
		{Name: "deep", Host: "a.example", Prefix: "/plots/old/", Service: "s"},
		{Name: "other", Host: "b.example", Prefix: "/plots/", Service: "s"},
	}})
}

// TestMatch guards against a request that is sent to a service without a matching
// route.
func TestMatch(t *testing.T) {
	tests := []struct {
		name, host, path, want string
	}{
		{"longest prefix", "a.example", "/plots/old/7", "deep"},
		{"prefix itself", "a.example", "/plots/", "plots"},
		{"without the final slash", "a.example", "/plots", "root"},
		{"segment with the same beginning", "a.example", "/plotsold/7", "root"},
		{"query string is not part of the path", "a.example", "/plots?x=/plots/old/", "root"},
		{"port and case of the host", "A.Example:8080", "/plots/1", "plots"},
		{"other host", "b.example", "/plots/1", "other"},
		{"no route of the host", "b.example", "/", ""},
		{"unknown host", "c.example", "/plots/1", ""},
		{"no path", "a.example", "*", ""},
		{"encoded slash is not a separator", "b.example", "/plots%2F1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if r, ok := newTable().Match(tt.host, tt.path); ok {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSplit guards against shares that deviate from their weights, also over few
// requests.
func TestSplit(t *testing.T) {
	r := route.Route{Name: "r", Split: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	s := route.NewSplitter()
	got := map[string]int{}
	for n := 1; n <= 400; n++ {
		got[s.Next(&r)]++
		if want := 0.75 * float64(n); float64(got["a"]) < want-1 || float64(got["a"]) > want+1 {
			t.Fatalf("after %d requests: got %d for a, want %.1f within 1", n, got["a"], want)
		}
	}
	if got["c"] != 0 {
		t.Errorf("weight 0: got %d requests, want 0", got["c"])
	}
}

// TestSplitWeightsChange guards against shares that follow the old weights after a change:
// the state of the split must not depend on the scale of the weights.
func TestSplitWeightsChange(t *testing.T) {
	split := func(a, b float64) *route.Route {
		return &route.Route{Name: "r", Split: []route.WeightedService{{Service: "a", Weight: a}, {Service: "b", Weight: b}}}
	}
	for _, tt := range []struct{ before, after [2]float64 }{
		{[2]float64{700, 300}, [2]float64{0.7, 0.3}},
		{[2]float64{0.7, 0.3}, [2]float64{700, 300}},
		{[2]float64{1e9, 1}, [2]float64{1, 1}},
		{[2]float64{1, 0}, [2]float64{1, 3}},
	} {
		s := route.NewSplitter()
		for range 13 {
			s.Next(split(tt.before[0], tt.before[1]))
		}
		const n = 200
		got := 0
		for range n {
			if s.Next(split(tt.after[0], tt.after[1])) == "a" {
				got++
			}
		}
		want := n * tt.after[0] / (tt.after[0] + tt.after[1])
		if float64(got) < want-2 || float64(got) > want+2 {
			t.Errorf("from %v to %v: got %d of %d requests for a, want %.0f within 2", tt.before, tt.after, got, n, want)
		}
	}
}

// TestSplitPrune guards against a new configuration version that resets the state of
// unchanged splits.
func TestSplitPrune(t *testing.T) {
	r := route.Route{Name: "r", Split: []route.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	s := route.NewSplitter()
	first := s.Next(&r)
	s.Prune(route.NewTable(route.Config{Routes: []route.Route{r}}))
	if got := s.Next(&r); got == first {
		t.Errorf("got %q twice in a row, want the other service", got)
	}
}
