package entry_test

import (
	"context"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/timeline"
)

// TestConcurrentPresetSwitches guards against two concurrent switches that are both
// reported as accepted, and against an error that does not describe the accepted one.
func TestConcurrentPresetSwitches(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	rec, err := f.Caller(0).Presets()
	if err != nil {
		t.Fatal(err)
	}
	changes := []preset.Change{
		{ID: "c-aino", Author: "aino", Reason: "heat lists today", BaseRevision: rec.Revision, SwitchTo: "peak"},
		{ID: "c-kofi", Author: "kofi", Reason: "pump repair", BaseRevision: rec.Revision, SwitchTo: "maintenance"},
	}
	docs := make([]entry.ChangeDocument, len(changes))
	var wait sync.WaitGroup
	for i, c := range changes {
		wait.Go(func() {
			var err error
			if docs[i], err = f.Caller(i).Change(c); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	winnerIndex := 0
	if docs[0].Accepted != preset.Accepted {
		winnerIndex = 1
	}
	winner, loser := changes[winnerIndex], docs[1-winnerIndex]
	if docs[winnerIndex].Accepted != preset.Accepted || loser.Accepted != preset.NotAccepted {
		t.Fatalf("got %+v, want exactly one accepted", docs)
	}
	for _, part := range []string{winner.Author, winner.Reason, winner.SwitchTo, winner.ID, time.Now().UTC().Format("2006-01-")} {
		if !strings.Contains(loser.Error, part) {
			t.Errorf("error of the change that was not accepted is %q, want it to contain %q", loser.Error, part)
		}
	}
	if _, err := demo.AwaitRevision(f, docs[winnerIndex].Revision, 4000); err != nil {
		t.Error(err)
	}
}

// TestStoreLostAfterChange guards against an accepted change that does not reach
// all VMs because the store fails right after the write.
func TestStoreLostAfterChange(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	doc, err := f.Caller(2).Change(preset.Change{ID: "c1", Author: "aino", Reason: "test", SwitchTo: "peak"})
	injectFault(t, f, "store", "down", true)
	if err != nil || doc.Accepted != preset.Accepted {
		t.Fatalf("got %+v, %v, want accepted", doc, err)
	}
	status, err := demo.AwaitRevision(f, doc.Revision, 4000)
	if err != nil || len(status.VMs) != 7 {
		t.Fatalf("await revision: %v, %d VMs responded, want 7", err, len(status.VMs))
	}
	// A change during the outage is reported as not accepted, and is not applied later.
	late, err := f.Caller(0).Change(preset.Change{ID: "c2", Author: "aino", Reason: "test", SwitchTo: "ordinary"})
	if err != nil || late.Accepted != preset.NotAccepted {
		t.Errorf("change during the outage: got %+v, %v, want not accepted", late, err)
	}
	injectFault(t, f, "store", "down", false)
	for vm := range f.Size() {
		if rec, err := f.Caller(vm).Presets(); err != nil || rec.InForce != "peak" || rec.Revision < doc.Revision {
			t.Errorf("VM %d: got %s at revision %d, %v, want peak at %d", vm, rec.InForce, rec.Revision, err, doc.Revision)
		}
	}
}

// TestStartDuringOutage guards against a VM that serves requests without a preset
// record. While the store and the VM list are down, a new VM knows no peers, and it
// receives the record from them only after the VM list is back.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	switchPreset(t, f, "peak")
	injectFault(t, f, "store", "down", true)
	injectFault(t, f, "vm_list", "down", true)
	if err := f.Start(context.WithoutCancel(t.Context()), "vm-late"); err != nil {
		t.Fatal(err)
	}
	late := f.Caller(3)
	waitFor(t, "the VM responds", func() bool { _, err := late.Status(); return err == nil })
	q := newQuery()
	for range 20 {
		if late.Ready() {
			t.Fatal("VM is ready without a preset record")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if a, err := late.Query(q); err != nil || a.Outcome != "refused" || a.Reason != "not_ready" {
		t.Errorf("got %s %s, %v, want refused not_ready", a.Outcome, a.Reason, err)
	}
	doc, err := late.Events(url.Values{"request": {q.ID}})
	if err != nil || len(doc.Events) != 1 || doc.Events[0].Kind != timeline.Refused || doc.Events[0].Detail != "not_ready" {
		t.Errorf("got events %+v, %v, want one refusal and its reason", doc.Events, err)
	}
	injectFault(t, f, "vm_list", "down", false)
	waitFor(t, "the VM is ready", late.Ready)
	if rec, err := late.Presets(); err != nil || rec.InForce != "peak" {
		t.Errorf("got %s, %v, want peak", rec.InForce, err)
	}
	requireComplete(t, f, 3)
}

// memberState returns the state of a member in the member list of VM i.
func memberState(f *demo.Fleet, i int, id string) fleet.State {
	s, err := f.Caller(i).Status()
	if err != nil {
		return fleet.Alive
	}
	for _, m := range s.Members {
		if m.ID == id {
			return m.State
		}
	}
	return fleet.Dead
}
