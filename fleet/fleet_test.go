package fleet_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
)

const (
	healTimeout  = 40 * clock.Second
	testUpstream = upstream.ID("orders/desk-1/a")
	leavingBound = 3 * clock.Second // required bound for a report to reach every VM
)

// joinedFleet returns nine VMs that have converged on the membership and have a record.
func joinedFleet(t *testing.T, seed uint64) *experiment.Fleet {
	t.Helper()
	f := experiment.NewFleet(seed, 9)
	f.StartAll(clock.Second)
	f.RunFor(clock.Second + 1)
	waitUntil(t, f, healTimeout, "join", func() bool {
		return f.Converged() && f.All(func(n *experiment.FleetVM) bool { return n.Model.Ready() })
	})
	return f
}

func waitUntil(t *testing.T, f *experiment.Fleet, limit clock.Millis, condition string, reached func() bool) {
	t.Helper()
	if took, done := f.RunUntil(50, limit, reached); !done {
		t.Fatalf("%s: not reached within %d ms", condition, took)
	}
}

// stateOf returns the state of member id as seen by viewer.
func stateOf(viewer *experiment.FleetVM, id string) fleet.State {
	for _, v := range viewer.Model.Members() {
		if v.ID == id {
			return v.State
		}
	}
	return fleet.Dead
}

// TestMembershipRecovers guards against a VM that, after a fault has ended, is still
// excluded although it is alive, or still included although it is gone.
func TestMembershipRecovers(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, f *experiment.Fleet, n *experiment.FleetVM)
	}{
		{"refutation", func(t *testing.T, f *experiment.Fleet, n *experiment.FleetVM) {
			f.LinkCut = func(a, b *experiment.FleetVM) bool { return a == n || b == n }
			waitUntil(t, f, 10*clock.Second, "suspected", func() bool { return stateOf(f.VMs[0], n.VM.ID) == fleet.Suspect })
			f.LinkCut = nil
			f.RunFor(8 * clock.Second)
			if n.Model.Self().Refutation == 0 {
				t.Error("a suspected VM did not refute")
			}
		}},
		{"restart at the same address", func(t *testing.T, f *experiment.Fleet, n *experiment.FleetVM) {
			old := n.VM.Incarnation
			f.Kill(n)
			f.RunFor(500)
			f.Start(n)
			waitUntil(t, f, healTimeout, "new incarnation", func() bool {
				for _, v := range f.VMs[0].Model.Live() {
					if v.ID == n.VM.ID && v.Incarnation > old {
						return true
					}
				}
				return false
			})
		}},
		{"long pause", func(t *testing.T, f *experiment.Fleet, n *experiment.FleetVM) {
			f.Pause(n, clock.Minute)
			f.RunFor(50 * clock.Second)
			if got := stateOf(f.VMs[0], n.VM.ID); got != fleet.Dead {
				t.Errorf("got state %s of a VM paused for 50 s, want dead", got)
			}
			f.RunFor(11 * clock.Second)
			if got := n.Model.LiveCount(); got < 8 {
				t.Errorf("got %d live members at the VM after its pause, want at least 8", got)
			}
		}},
		{"partition for two minutes", func(_ *testing.T, f *experiment.Fleet, _ *experiment.FleetVM) { partition(f, 2*clock.Minute) }},
		{"partition until dead members are deleted", func(_ *testing.T, f *experiment.Fleet, _ *experiment.FleetVM) { partition(f, 12*clock.Minute) }},
		{"planned stop and restart", func(t *testing.T, f *experiment.Fleet, n *experiment.FleetVM) {
			f.Deliver(n, fleet.StopMsg{})
			f.RunFor(leavingBound)
			if !n.Model.StopAnnounced(f.Loop.Now()) || n.Model.Ready() {
				t.Error("a stopping VM is ready or has not announced its stop, want not ready and announced")
			}
			for _, other := range f.VMs {
				if other.Model.IsLive(n.VM.ID) {
					t.Errorf("%s still counts a VM that left as alive", other.VM.ID)
				}
			}
			f.Kill(n)
			f.RunFor(clock.Second)
			f.Start(n)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := joinedFleet(t, 1)
			tt.fault(t, f, f.VMs[4])
			waitUntil(t, f, healTimeout, "convergence", f.Converged)
		})
	}
}

func partition(f *experiment.Fleet, d clock.Millis) {
	f.LinkCut = func(a, b *experiment.FleetVM) bool { return (a.Region == 0) != (b.Region == 0) }
	f.RunFor(d)
	f.LinkCut = nil
}

// TestOneWayLinkFailureCausesNoSuspicion guards against suspecting a VM that other
// members reach, when only the link from one member to it is cut.
func TestOneWayLinkFailureCausesNoSuspicion(t *testing.T) {
	f := joinedFleet(t, 2)
	a, b := f.VMs[1], f.VMs[2]
	f.LinkCut = func(from, to *experiment.FleetVM) bool { return from == a && to == b }
	for range 60 {
		f.RunFor(clock.Second)
		if !f.Converged() {
			t.Fatal("a one-way link failure made a VM suspect")
		}
	}
}

// TestAddressReuse guards against a VM that stays a carrier until probes find it dead,
// although a new VM has already started at its address.
func TestAddressReuse(t *testing.T) {
	f := joinedFleet(t, 3)
	old := f.VMs[5]
	f.Kill(old)
	next := &experiment.FleetVM{VM: old.VM, Index: 9, Region: old.Region}
	next.VM.ID = "vm-next"
	f.VMs = append(f.VMs, next)
	f.ByID[next.VM.ID] = next
	f.RunFor(100)
	f.Start(next)
	waitUntil(t, f, 6*clock.Second, "replacement", f.Converged)
}

// TestUpstreamReports guards against work sent to an upstream that another VM has
// observed leaving, and against reports that never expire.
func TestUpstreamReports(t *testing.T) {
	f := joinedFleet(t, 4)
	f.LossPercent = 5
	applied := func(want bool) func() bool {
		return func() bool {
			return f.All(func(n *experiment.FleetVM) bool {
				return n.Leaving[testUpstream] == want && n.Model.UpstreamLeaving(testUpstream) == want
			})
		}
	}
	for _, leaving := range []bool{true, false, true} {
		for _, n := range f.VMs[:3] { // several VMs observe the same upstream
			f.Deliver(n, fleet.UpstreamLeavingMsg{Upstream: testUpstream, Leaving: leaving})
		}
		waitUntil(t, f, leavingBound, "report", applied(leaving))
		f.RunFor(5 * clock.Second)
	}
	f.Start(f.VMs[8]) // a new process receives the report too
	waitUntil(t, f, leavingBound, "report on a new VM", applied(true))
	f.RunFor(9 * clock.Minute)
	if !applied(true)() {
		t.Error("the report expired before the end of its TTL")
	}
	waitUntil(t, f, 2*clock.Minute, "expiry", applied(false))
	if got := f.VMs[0].Model.Reports(); len(got) != 0 {
		t.Errorf("got reports %v after their expiry, want none", got)
	}
}

// TestManyUpstreamsLeave guards against reports delayed by the size limit of
// messages when all upstreams of a rack drain at once.
func TestManyUpstreamsLeave(t *testing.T) {
	f := joinedFleet(t, 11)
	f.LossPercent = 5
	for i := range 200 {
		f.Deliver(f.VMs[i%2], fleet.UpstreamLeavingMsg{Upstream: upstream.ID(fmt.Sprintf("s/g%d/a", i)), Leaving: true})
	}
	waitUntil(t, f, leavingBound, "200 reports", func() bool {
		return f.All(func(n *experiment.FleetVM) bool { return len(n.Leaving) == 200 })
	})
}

// TestStartDuringOutage guards against a VM that starts during a store outage and is
// ready without a record, or never becomes ready although peers have the record.
func TestStartDuringOutage(t *testing.T) {
	f := joinedFleet(t, 5)
	f.Store.Fail()
	n := f.VMs[3]
	f.Kill(n)
	f.RunFor(clock.Second)
	f.LinkCut = func(a, b *experiment.FleetVM) bool { return a == n || b == n }
	f.Start(n)
	f.RunFor(20 * clock.Second)
	if n.Model.Ready() {
		t.Error("a VM that reaches neither the store nor a peer is ready, want not ready")
	}
	f.LinkCut = nil
	waitUntil(t, f, 5*clock.Second, "record from peers", n.Model.Ready)
	if !n.Model.Stale(f.Loop.Now()) {
		f.LinkCut = func(a, b *experiment.FleetVM) bool { return a == n || b == n }
		waitUntil(t, f, 10*clock.Second, "stale", func() bool { return n.Model.Stale(f.Loop.Now()) })
	}
	if !n.Model.Ready() {
		t.Error("a VM whose record is stale is not ready, want ready")
	}
}

// TestOnlyHigherRevisionsApply guards against a record replaced by an older one, whether
// that arrives from this VM's own commits or from store reads and watches.
func TestOnlyHigherRevisionsApply(t *testing.T) {
	f := joinedFleet(t, 6)
	old := f.VMs[0].Model.Record()
	next, err := preset.Switch(old, preset.Change{ID: "c", Author: "a", Reason: "r", SwitchTo: "peak"})
	if err != nil {
		t.Fatal(err)
	}
	value, _ := preset.Encode(old)
	f.Deliver(f.VMs[0], fleet.RecordMsg{Record: next})
	f.Deliver(f.VMs[0], fleet.RecordMsg{Record: old})
	for _, op := range []store.Op{store.OpGet, store.OpWatch} {
		f.Deliver(f.VMs[0], fleet.StoreMsg{Reply: store.Reply{Op: op, Entry: store.Entry{Value: value, Revision: 99}}})
	}
	if got := f.VMs[0].Model.Record().Revision; got != next.Revision {
		t.Errorf("got revision %d of the record, want %d", got, next.Revision)
	}
	waitUntil(t, f, 4*clock.Second, "spread", func() bool {
		return f.All(func(n *experiment.FleetVM) bool { return n.Model.Record().Revision == next.Revision })
	})
	// The store holds an older record than the fleet, so a watcher writes the newer one back.
	waitUntil(t, f, 2*clock.Minute, "write-back", func() bool {
		rec, err := preset.Decode(f.Store.Entry().Value)
		return err == nil && rec.Revision == next.Revision
	})
}
