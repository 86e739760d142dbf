package standin_test

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/roster/httproster"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/store/httpstore"
)

func startStore(t *testing.T, opts ...standin.StoreOption) (*standin.Store, *httpstore.Client) {
	t.Helper()
	s, err := standin.StartStore(t.Context(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	c := httpstore.New(s.Address(), httpstore.WithTimeout(longMs), httpstore.WithWatchTimeout(longMs))
	t.Cleanup(func() {
		c.Close()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func wantKind(t *testing.T, what string, err error, want store.Kind) {
	t.Helper()
	got := store.KindOK
	var serr *store.Error
	if errors.As(err, &serr) {
		got = serr.Kind()
	}
	if got != want {
		t.Errorf("%s = %v, want kind %v", what, err, want)
	}
}

// TestSwapRace guards against two concurrent writers that both succeed on one revision.
func TestSwapRace(t *testing.T) {
	s, c := startStore(t)
	var wins, conflicts atomic.Int64
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			_, err := c.Swap(t.Context(), "k", []byte("v"), 0)
			var serr *store.Error
			switch {
			case err == nil:
				wins.Add(1)
			case errors.As(err, &serr) && serr.Kind() == store.KindConflict:
				conflicts.Add(1)
			}
		})
	}
	wg.Wait()
	if wins.Load() != 1 || conflicts.Load() != 31 {
		t.Errorf("got %d successful writes and %d conflicts, want 1 and 31", wins.Load(), conflicts.Load())
	}
	if got := s.Calls()["swap"]; got != 32 {
		t.Errorf("got %d swap calls, want 32", got)
	}
}

// TestStoreFaults guards against a fault without effect, against a dropped reply
// whose write was not applied, and against a rejected write that was.
func TestStoreFaults(t *testing.T) {
	s, c := startStore(t)
	ctx := t.Context()
	first, err := c.Swap(ctx, "k", []byte("1"), 0)
	wantKind(t, "Swap", err, store.KindOK)

	inject(t, s, "lose_answers", 1)
	_, err = c.Swap(ctx, "k", []byte("conflict"), first.Revision+100)
	wantKind(t, "Swap of a wrong revision", err, store.KindConflict)
	_, err = c.Swap(ctx, "k", []byte("2"), first.Revision)
	wantKind(t, "Swap with a dropped reply", err, store.KindUnknown)
	if e, err := c.Get(ctx, "k"); err != nil || !bytes.Equal(e.Value, []byte("2")) || s.DroppedReplies() != 1 {
		t.Errorf("Get = %+v, %v with %d dropped replies, want the write without a reply applied", e, err, s.DroppedReplies())
	}

	inject(t, s, "down", true)
	_, err = c.Swap(ctx, "k", []byte("3"), first.Revision+1)
	wantKind(t, "Swap while down", err, store.KindUnavailable)
	_, err = c.Get(ctx, "k")
	wantKind(t, "Get while down", err, store.KindUnavailable)
	inject(t, s, "down", false)
	if e, err := c.Get(ctx, "k"); err != nil || !bytes.Equal(e.Value, []byte("2")) {
		t.Errorf("Get = %+v, %v, want the value written before the outage", e, err)
	}

	inject(t, s, "slow_ms", 60_000)
	shortTimeout := httpstore.New(s.Address(), httpstore.WithTimeout(shortMs))
	defer shortTimeout.Close()
	_, err = shortTimeout.Swap(ctx, "k", []byte("4"), first.Revision+1)
	wantKind(t, "Swap while slow", err, store.KindUnknown)
	inject(t, s, "slow_ms", 0)

	_, err = c.Swap(ctx, "big", make([]byte, standin.MaxValueBytes), 0)
	wantKind(t, "Swap of 1 MB", err, store.KindOK)
	_, err = c.Swap(ctx, "big2", make([]byte, standin.MaxValueBytes+1), 0)
	wantKind(t, "Swap of more than 1 MB", err, store.KindTooLarge)
	if e, err := c.Get(ctx, "big"); err != nil || len(e.Value) != standin.MaxValueBytes {
		t.Errorf("Get of 1 MB = %d bytes, %v", len(e.Value), err)
	}
}

// TestLeases guards against an expired lease that can be renewed.
func TestLeases(t *testing.T) {
	s, c := startStore(t)
	ctx := t.Context()
	id, err := c.Grant(ctx, longMs)
	wantKind(t, "Grant", err, store.KindOK)
	wantKind(t, "KeepAlive", c.KeepAlive(ctx, id), store.KindOK)
	inject(t, s, "lapse_leases", true)
	wantKind(t, "KeepAlive after expiry", c.KeepAlive(ctx, id), store.KindConflict)
	shortLease, err := c.Grant(ctx, 1)
	wantKind(t, "Grant", err, store.KindOK)
	for c.KeepAlive(ctx, shortLease) == nil && ctx.Err() == nil { // each call renews for 1 ms only
		continue
	}
	if id, err = c.Grant(ctx, longMs); err == nil {
		err = c.Revoke(ctx, id)
	}
	wantKind(t, "Revoke", err, store.KindOK)
	wantKind(t, "Revoke again", c.Revoke(ctx, id), store.KindConflict)
}

// TestWatch guards against a watch that misses a write or returns a stale value.
func TestWatch(t *testing.T) {
	s, c := startStore(t)
	got := make(chan store.Entry, 1)
	go func() {
		e, _ := c.Watch(t.Context(), "k", 0)
		got <- e
	}()
	for s.Calls()["watch"] == 0 && t.Context().Err() == nil {
		continue
	}
	_, err := c.Swap(t.Context(), "other", nil, 0)
	wantKind(t, "Swap", err, store.KindOK)
	e, err := c.Swap(t.Context(), "k", []byte("v"), 0)
	wantKind(t, "Swap", err, store.KindOK)
	if w := <-got; w.Revision != e.Revision || string(w.Value) != "v" {
		t.Errorf("Watch = %+v, want %+v", w, e)
	}
}

// TestRates guards against a store that accepts calls above its rate limits.
func TestRates(t *testing.T) {
	s, c := startStore(t, standin.WithRateLimits(1, 1))
	_, err := c.Swap(t.Context(), "k", nil, 0)
	wantKind(t, "first Swap", err, store.KindOK)
	inject(t, s, "writes_per_second", 1e-6)
	_, err = c.Swap(t.Context(), "l", nil, 0)
	wantKind(t, "second Swap", err, store.KindUnavailable)
	if got := s.Calls(); got["rate_limited"] != 1 || s.Entry("l").Revision != 0 {
		t.Errorf("Calls = %v, entry %v, want one rejected call that was not applied", got, s.Entry("l"))
	}
}

// TestVMList guards against a list that shows a change before its lag has passed.
func TestVMList(t *testing.T) {
	l, err := standin.StartVMList(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c := httproster.New(l.Address())
	defer c.Close()
	vm := roster.VM{ID: "vm-1", Address: "127.0.0.1:1", DataCentre: "dc-1"}
	steps := []struct {
		name string
		do   func() error
		want int
	}{
		{"empty", func() error { return nil }, 0},
		{"registered", func() error { return l.Register(vm) }, 1},
		{"hidden by lag", func() error { return l.Inject("lag_ms", 600_000) }, 0},
		{"without lag", func() error { return l.Inject("lag_ms", 0) }, 1},
		{"leaving", func() error { vm.Leaving = true; return l.Register(vm) }, 1},
		{"removed", func() error { l.Remove(vm.ID); return nil }, 0},
	}
	for _, step := range steps {
		if err := step.do(); err != nil {
			t.Fatal(err)
		}
		got, err := c.VMs(t.Context())
		if err != nil || len(got) != step.want {
			t.Errorf("%s: VMs = %v, %v, want %d", step.name, got, err, step.want)
		}
		if step.want == 1 && got[0].Leaving != vm.Leaving {
			t.Errorf("%s: VMs = %v, want %v", step.name, got, vm)
		}
	}
	if err := l.Register(roster.VM{ID: "vm-2", Address: "vm-2"}); err == nil {
		t.Error("Register of a host name succeeded, want an error")
	}
}
