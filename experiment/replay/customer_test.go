package replay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment/replay"
)

// TestHotCustomer guards against a customer whose queries end late by the load of another
// one, and against queries that are cut to pieces by it.
func TestHotCustomer(t *testing.T) {
	const capacity = 192.0 // two replicas of two slots a shard, 20.8 ms a part
	loads := []struct {
		name string
		run  replay.CustomerRun
	}{
		{"equal", replay.CustomerRun{PerSecond: 0.8 * capacity}},
		{"two ranks", replay.CustomerRun{PerSecond: 0.8 * capacity, TwoRanks: true}},
		{"carriers killed", replay.CustomerRun{PerSecond: 0.8 * capacity, Kills: 5}},
		{"room halved", replay.CustomerRun{PerSecond: 0.4 * capacity, SlowFrom: 10 * clock.Second}},
	}
	for _, load := range loads {
		usual := playCustomers(t, load.run, 1)
		for _, factor := range []float64{10, 40} {
			t.Run(fmt.Sprintf("%s, %.0f times", load.name, factor), func(t *testing.T) {
				hot := playCustomers(t, load.run, factor)
				t.Logf("others %.3f in time, %.3f before; hot one %.3f in time and %.0f of %.0f answered, %.3f before",
					hot.others, usual.others, hot.first, hot.answered, hot.asked, usual.first)
				if want := usual.others - 0.02; hot.others < want {
					t.Errorf("got %.3f of the queries of others in time, want at least %.3f", hot.others, want)
				}
			})
		}
	}
}

// customerResult is the mean of some runs.
type customerResult struct {
	first, others   float64 // shares in time
	answered, asked float64 // queries of the first customer
}

func playCustomers(t *testing.T, run replay.CustomerRun, factor float64) customerResult {
	const seeds = 3
	var res customerResult
	run.Factor = factor
	for seed := range uint64(seeds) {
		w, out := run.Run(seed + 1)
		for _, violation := range w.Violations() {
			t.Errorf("%.0f times, seed %d: %s", factor, seed+1, violation)
		}
		for i, o := range out {
			if i == 0 {
				res.first += o.ShareInTime() / seeds
				res.answered += float64(o.Answered()) / seeds
				res.asked += float64(o.Sent()) / seeds
				continue
			}
			res.others += o.ShareInTime() / seeds / float64(len(out)-1)
		}
	}
	return res
}
