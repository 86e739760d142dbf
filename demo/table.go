package demo

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

// Bounds of the latency histogram, in microseconds.
const (
	minMicros   = 1
	maxMicros   = 120_000_000
	sigDigits   = 3
	microsPerMs = 1000
)

// rankSummary aggregates the samples of one rank.
type rankSummary struct {
	count    int
	outcomes map[string]int
	coverage float64
	latency  *hdrhistogram.Histogram
}

func writeTable(w io.Writer, samples []sample, status entry.FleetStatus) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(tw, "\nkind\trank\tcount\toutcomes\tcoverage\tp50 ms\tp99 ms\textra load\n")
	for _, r := range rank.All() {
		sum := summarise(samples, r, false)
		printf(tw, "query\t%s\t%d\t%s\t%.4f\t%.1f\t%.1f\t%s\n",
			r, sum.count, sum.formatOutcomes(), sum.coverage, sum.quantile(50), sum.quantile(99), extraAttempts(status, r))
	}
	orders := summarise(samples, rank.Ordinary, true)
	printf(tw, "order\t%s\t%d\t%s\t\t%.1f\t%.1f\t\n",
		rank.Ordinary, orders.count, orders.formatOutcomes(), orders.quantile(50), orders.quantile(99))
	_ = tw.Flush()
}

func summarise(samples []sample, r rank.Rank, orders bool) *rankSummary {
	sum := &rankSummary{outcomes: make(map[string]int), latency: hdrhistogram.New(minMicros, maxMicros, sigDigits)}
	for _, s := range samples {
		if s.rank != r || s.isOrder != orders {
			continue
		}
		sum.count++
		sum.outcomes[s.outcome]++
		sum.coverage += s.coverage
		_ = sum.latency.RecordValue(int64(math.Round(s.durationMs * microsPerMs)))
	}
	if sum.count > 0 {
		sum.coverage /= float64(sum.count)
	}
	return sum
}

func (r *rankSummary) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / microsPerMs
}

func (r *rankSummary) formatOutcomes() string {
	names := make([]string, 0, len(r.outcomes))
	for name, n := range r.outcomes {
		names = append(names, fmt.Sprintf("%s=%d", name, n))
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}

// extraAttempts formats the percentage of attempts beyond those needed, over all
// VMs.
func extraAttempts(status entry.FleetStatus, r rank.Rank) string {
	var t vm.RankTotals
	for _, v := range status.VMs {
		for _, rt := range v.Totals {
			if rt.Rank == r {
				t.AttemptsNeeded += rt.AttemptsNeeded
				t.AttemptsSent += rt.AttemptsSent
			}
		}
	}
	if t.AttemptsNeeded == 0 {
		return "none"
	}
	return fmt.Sprintf("%+.1f%%", 100*(float64(t.AttemptsSent)/float64(t.AttemptsNeeded)-1))
}

// mainEvents are the kinds of events that the demo prints one by one. The others
// are only counted.
var mainEvents = []timeline.Kind{
	timeline.PresetApplied, timeline.PresetSwitched, timeline.UpstreamLeaving, timeline.VMFailed, timeline.DrainStarted,
}

const maxListedEvents = 12

func writeEvents(w io.Writer, events []timeline.Event) {
	counts := make(map[timeline.Kind]int)
	numListed := 0
	printf(w, "\ntimeline, main events:\n")
	for _, ev := range events {
		counts[ev.Kind]++
		if slices.Contains(mainEvents, ev.Kind) && numListed < maxListedEvents {
			numListed++
			printf(w, "  +%6d ms  %-6s %-16s revision=%d %s%s\n",
				ev.Timestamp.WallMs-events[0].Timestamp.WallMs, ev.VM, ev.Kind, ev.Revision, ev.Upstream, ev.Detail)
		}
	}
	kinds := make([]timeline.Kind, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	printf(w, "all events by kind:")
	for _, k := range kinds {
		printf(w, " %s=%d", k, counts[k])
	}
	printf(w, "\n")
}
