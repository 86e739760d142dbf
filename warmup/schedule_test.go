package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/warmup"
)

// maxInSecond is what users allow in any second for an upstream that bears a rate.
func maxInSecond(perSecond float64) float64 { return 1.5*perSecond + 5 }

// send sends as many requests as the schedules of some VMs allow, from 0 to end, and
// returns their times.
func send(schedules []warmup.Schedule, end clock.Millis) []clock.Millis {
	var sent []clock.Millis
	for now := clock.Millis(0); now < end; now++ {
		for i := range schedules {
			for schedules[i].NotBefore(now) <= now {
				schedules[i].Spend(now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostInSecond returns the largest number of times within one second.
func mostInSecond(times []clock.Millis) int {
	most, first := 0, 0
	for i, t := range times {
		for t-times[first] >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestSumOfAllVMs guards against VMs that together send an upstream more than it bears,
// when all of them have more work for it than they may send. Half of them may have an older
// list, by which another VM is designated, and learn up to 2 s later that it is cold.
func TestSumOfAllVMs(t *testing.T) {
	for _, vms := range []int{1, 2, 9, 77, 135} {
		for _, perSecond := range []float64{0.1, 0.5, 1, 3, 10, 40} {
			for _, lists := range []string{"equal", "differ"} {
				t.Run(fmt.Sprint(vms, " VMs, ", perSecond, " a second, lists ", lists), func(t *testing.T) {
					rng := rand.New(rand.NewPCG(uint64(vms), 1))
					var rest, equal []warmup.Schedule
					order, older := rng.Perm(vms), rng.Perm(vms)
					for vm := range vms {
						from, index, count := clock.Millis(0), order[vm], vms
						if lists == "differ" && vm%2 == 1 {
							from, index, count = clock.Millis(rng.Int64N(2000)), older[vm], vms+2
						}
						if index == 0 {
							rest = append(rest, warmup.Designated(from, perSecond))
						} else {
							rest = append(rest, warmup.Rest(from, perSecond, index, count))
						}
						equal = append(equal, warmup.Equal(from, perSecond, index, count))
					}
					for name, schedules := range map[string][]warmup.Schedule{"designated and rest": rest, "equal shares": equal} {
						sent := send(schedules, 20*clock.Second)
						if got, limit := mostInSecond(sent), maxInSecond(perSecond); float64(got) > limit {
							t.Errorf("%s: got %d requests in a second, want at most %.1f", name, got, limit)
						}
						if want := 0.5 * perSecond * 20; lists == "equal" && float64(len(sent)) < want-1 {
							t.Errorf("%s: got %d requests in 20 s, want at least %.0f", name, len(sent), want)
						}
					}
				})
			}
		}
	}
}

// TestAfter guards against a VM that sends at once, because its schedule was replaced.
func TestAfter(t *testing.T) {
	s := warmup.Designated(0, 10)
	s.Spend(1000)
	if got, want := warmup.Designated(500, 1).After(s).NotBefore(1000), clock.Millis(2429); got != want {
		t.Errorf("designated: got %d, want %d", got, want)
	}
	replaced := warmup.Rest(1000, 10, 0, 5).After(s)
	if got, want := replaced.NotBefore(1000), clock.Millis(1000+5*1000); got != want {
		t.Errorf("rest: got %d, want %d", got, want)
	}
}

// TestLostTurns guards against turns that add up while they are not used.
func TestLostTurns(t *testing.T) {
	s := warmup.Equal(0, 10, 2, 9) // turns of 143 ms, the first at 286 ms
	for _, tt := range []struct{ now, want clock.Millis }{{0, 286}, {286, 286}, {400, 400}, {428, 428}, {429, 1573}, {1600, 1600}} {
		if got := s.NotBefore(tt.now); got != tt.want {
			t.Errorf("at %d: got %d, want %d", tt.now, got, tt.want)
		}
	}
	s.Spend(1600)
	if got, want := s.NotBefore(1601), clock.Millis(2887); got != want {
		t.Errorf("after a request: got %d, want %d", got, want)
	}
}

// TestNoRate guards against a rate so low that times overflow.
func TestNoRate(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300} {
		if got := warmup.Equal(0, perSecond, 1, 1600).NotBefore(0); got <= 0 {
			t.Errorf("%g a second: got %d, want a time after 0", perSecond, got)
		}
	}
}
