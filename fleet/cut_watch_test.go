package fleet_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// TestSwitchWhileWatchesAreCut guards against a switch of presets that is in force late, because
// a watch that the store has cut counts as a failure of the store and is opened again ever later.
func TestSwitchWhileWatchesAreCut(t *testing.T) {
	const (
		cuts     = 60
		gap      = 500 // between two cuts, in ms
		bound    = 4 * clock.Second
		maxCalls = 2*3*cuts*gap/1000 + 9*3 // a watch and a read a second of each watcher, and the others' reads
	)
	for seed := range uint64(10) {
		f := joinedFleet(t, seed)
		reads, watches := f.Store.Reads, f.Store.Watches
		for i := range cuts {
			f.RunFor(gap + clock.Millis(i%7))
			f.Store.CutWatches()
		}
		if got := f.Store.Reads + f.Store.Watches - reads - watches; got > maxCalls {
			t.Errorf("seed %d: got %d calls of the store while it cut watches, want at most %d", seed, got, maxCalls)
		}
		old := f.VMs[0].Model.Record()
		next, err := preset.Switch(old, preset.Change{ID: "c", Author: "a", Reason: "r", SwitchTo: "peak"})
		if err != nil {
			t.Fatal(err)
		}
		value, err := preset.Encode(next)
		if err != nil {
			t.Fatal(err)
		}
		f.Store.Call(nil, store.Request{Op: store.OpSwap, Key: preset.StoreKey, Value: value, Revision: f.Store.Entry().Revision}, func(r store.Reply) {
			if r.Kind != store.KindOK {
				t.Errorf("switch: got %s, want ok", r.Kind)
			}
		})
		waitUntil(t, f, bound, "switch in force", func() bool {
			return f.All(func(n *experiment.FleetVM) bool { return n.Model.Record().Revision == next.Revision })
		})
	}
}
