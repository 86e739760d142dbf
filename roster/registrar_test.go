package roster_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

func cmdTypes(cmds []roster.RegistrarCmd) string {
	out := ""
	for _, cmd := range cmds {
		out += fmt.Sprintf("%T ", cmd)
	}
	return out
}

// TestRegistrar guards against a VM that is missing from the list while it is
// ready, or is listed before it is ready or after it leaves.
func TestRegistrar(t *testing.T) {
	r := roster.NewRegistrar(1)
	steps := []struct {
		at   clock.Millis
		msg  roster.RegistrarMsg
		want string
	}{
		{1000, roster.TickMsg{}, ""},
		{1000, roster.ReadyMsg{}, "roster.GrantCmd "},
		{1004, roster.GrantedMsg{Lease: 7}, "roster.WriteCmd "},
		{1008, roster.WrittenMsg{}, ""},
		{3000, roster.TickMsg{}, ""},
		{3010, roster.TickMsg{}, "roster.RenewCmd "},
		{3014, roster.RenewedMsg{}, ""},
		{11_020, roster.TickMsg{}, "roster.RenewCmd "},
		{11_024, roster.FailedMsg{Kind: store.KindUnavailable}, ""},
		{11_400, roster.TickMsg{}, "roster.RenewCmd "},
		{11_404, roster.FailedMsg{Kind: store.KindConflict}, ""},
		{12_100, roster.TickMsg{}, "roster.GrantCmd "},
		{12_104, roster.GrantedMsg{Lease: 8}, "roster.WriteCmd "},
		{12_108, roster.LeaveMsg{}, ""},
		{12_109, roster.WrittenMsg{}, "roster.RevokeCmd "},
		{12_112, roster.RenewedMsg{}, ""},
		{30_000, roster.TickMsg{}, ""},
	}
	for i, s := range steps {
		if got := cmdTypes(r.Update(s.at, s.msg)); got != s.want {
			t.Errorf("step %d, %T: got %q, want %q", i, s.msg, got, s.want)
		}
	}
}

// TestRegistrarOutage guards against a Registrar that stops retrying during an
// outage of the store, so that its expired entry stays missing, and against
// retries without a backoff.
func TestRegistrarOutage(t *testing.T) {
	r := roster.NewRegistrar(1)
	now := clock.Millis(1000)
	r.Update(now, roster.ReadyMsg{})
	calls := 1
	for now < 21_000 {
		cmds := r.Update(now, roster.FailedMsg{Kind: store.KindUnknown})
		for len(cmds) == 0 {
			at, ok := r.NextWake()
			if !ok {
				t.Fatal("NextWake returned no time, want the time of the next retry")
			}
			now = max(now+1, at)
			cmds = r.Update(now, roster.TickMsg{})
		}
		calls++
	}
	if calls < 10 || calls > 40 {
		t.Errorf("got %d calls in 20 s of outage, want 10 to 40", calls)
	}
}

// TestStoreReturned guards against a VM that stays out of the list until its next renewal
// because the store has come back without its lease, and against VMs that all write at once.
func TestStoreReturned(t *testing.T) {
	for _, tt := range []struct {
		name     string
		inFlight bool                // a renewal is outstanding when the store returns
		result   roster.RegistrarMsg // its result
	}{
		{"no call outstanding", false, nil},
		{"renewal succeeded before the return", true, roster.RenewedMsg{}},
		{"renewal refused after the return", true, roster.FailedMsg{Kind: store.KindConflict}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.NewRegistrar(1)
			r.Update(1000, roster.ReadyMsg{})
			r.Update(1004, roster.GrantedMsg{Lease: 7})
			r.Update(1008, roster.WrittenMsg{})
			now := clock.Millis(2000)
			if tt.inFlight {
				now = 3010
				if got, want := cmdTypes(r.Update(now, roster.TickMsg{})), "roster.RenewCmd "; got != want {
					t.Fatalf("got %q, want %q", got, want)
				}
			}
			got := cmdTypes(r.Update(now, roster.StoreReturnedMsg{VMs: 10}))
			if tt.inFlight {
				got += cmdTypes(r.Update(now, tt.result))
			}
			for end := now + 800; got == "" && now < end; now++ {
				if at, ok := r.NextWake(); ok && at <= now {
					got = cmdTypes(r.Update(now, roster.TickMsg{}))
				}
			}
			if want := "roster.GrantCmd "; got != want {
				t.Errorf("got %q within 800 ms, want %q", got, want)
			}
		})
	}
	const vms, maxPerSecond = 1600, 600 // grants; each is followed by the write of an entry
	perSecond := make(map[clock.Millis]int)
	for seed := range vms {
		r := roster.NewRegistrar(uint64(seed))
		r.Update(1000, roster.ReadyMsg{})
		r.Update(1004, roster.GrantedMsg{Lease: 7})
		r.Update(1008, roster.WrittenMsg{})
		r.Update(2000, roster.StoreReturnedMsg{VMs: vms})
		r.Update(2000, roster.ResumedMsg{})
		at, ok := r.NextWake()
		if !ok || at > 2000+roster.LeaseTTL/2 {
			t.Fatalf("seed %d: got %d, %t, want a call within half of the lease's time to live", seed, at, ok)
		}
		perSecond[at/clock.Second]++
	}
	for second, n := range perSecond {
		if n > maxPerSecond {
			t.Errorf("second %d: got %d VMs, want at most %d", second, n, maxPerSecond)
		}
	}
}

// TestRegistrarShortLease guards against an entry that lapses while its VM runs, because the
// store applies a shorter time to live than was asked for.
func TestRegistrarShortLease(t *testing.T) {
	for _, tt := range []struct {
		name    string
		granted clock.Millis // 0 if the store states none
		renewed clock.Millis
		wantMs  clock.Millis // longest time between two renewals
	}{
		{"as asked for", roster.LeaseTTL, roster.LeaseTTL, 2000},
		{"none stated", 0, 0, 2000},
		{"shorter", 3000, 3000, 1000},
		{"very short", 600, 600, 300},
		{"shorter from a renewal on", roster.LeaseTTL, 1500, 500},
		{"longer again", 1500, roster.LeaseTTL, 2000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.NewRegistrar(1)
			r.Update(1000, roster.ReadyMsg{})
			r.Update(1000, roster.GrantedMsg{Lease: 7, TTL: tt.granted})
			now := clock.Millis(1004)
			r.Update(now, roster.WrittenMsg{})
			for round := range 5 {
				at, ok := r.NextWake()
				if !ok {
					t.Fatal("got no time of a renewal, want one")
				}
				if got := at - now; round > 0 && got > tt.wantMs {
					t.Errorf("round %d: got %d ms until the renewal, want at most %d", round, got, tt.wantMs)
				}
				now = at
				r.Update(now, roster.TickMsg{})
				r.Update(now, roster.RenewedMsg{TTL: tt.renewed})
			}
		})
	}
}
