package fairshare_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fairshare"
)

// TestThrottle guards against a part that falls for a flow within its share, that falls to
// nothing, or that stays low when there is room again, with requests or without.
func TestThrottle(t *testing.T) {
	above := func() (*fairshare.Account, *fairshare.Flow) {
		var a fairshare.Account
		f := a.Flow("hot", 1)
		for range 20 {
			f.Charge(0, 1)
		}
		return &a, f
	}
	// observe records the same finding every 50 ms.
	observe := func(f *fairshare.Flow, from, to clock.Millis, late bool) (begun int) {
		for now := from; now < to; now += 50 {
			if f.Observe(now, late) {
				begun++
			}
		}
		return begun
	}
	t.Run("within its share", func(t *testing.T) {
		var a fairshare.Account
		f := a.Flow("small", 1)
		if observe(f, 1000, 9000, true); f.Admitted() != 1 || len(a.Throttled(9000)) != 0 {
			t.Errorf("got a part of %g, want all", f.Admitted())
		}
	})
	t.Run("falls and rises", func(t *testing.T) {
		a, f := above()
		begun := observe(f, 1000, 9000, true)
		if got := f.Admitted(); begun != 1 || got <= 0 || got > 0.05 {
			t.Errorf("got a part of %g that began to fall %d times, want a small part, once", got, begun)
		}
		if got := a.Throttled(9000); len(got) != 1 || got[0].Customer() != "hot" {
			t.Errorf("got %d throttled flows, want one", len(got))
		}
		if observe(f, 9000, 18_000, false); f.Admitted() != 1 || len(a.Throttled(18_000)) != 0 {
			t.Errorf("got a part of %g, want all", f.Admitted())
		}
	})
	t.Run("rises without requests", func(t *testing.T) {
		a, f := above()
		observe(f, 1000, 9000, true)
		if a.Throttled(18_000); f.Admitted() != 1 || len(a.Throttled(18_000)) != 0 {
			t.Errorf("got a part of %g, want all", f.Admitted())
		}
	})
	t.Run("listed once", func(t *testing.T) {
		a, f := above()
		for now := clock.Millis(1000); now < 20_000; now += 2000 {
			observe(f, now, now+200, true)
			observe(f, now+200, now+2000, false)
		}
		if got := len(a.Throttled(20_000)); got > 1 {
			t.Errorf("got %d throttled flows, want at most one", got)
		}
	})
}
