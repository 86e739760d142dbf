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
