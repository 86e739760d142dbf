package admission_test

import (
	"strconv"
	"testing"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// TestThroughputFloor guards against a rank that gets less than its floor of the
// throughput because its queries run longer than those of other ranks.
func TestThroughputFloor(t *testing.T) {
	p := testPreset(30, 30, 20)
	p.Urgent.QueueRequests, p.Patient.QueueRequests = 100, 100
	p.Urgent.DeadlineMs = 10_000
	ctrl := admission.New(admission.WithService(testService, 40, 40), admission.WithPreset(p))
	durations := rank.NewTable[clock.Millis](10, 10, 40)
	ends := make(map[clock.Millis][]string)
	var now clock.Millis
	var started rank.Table[int]
	perform := func(m admission.Msg) {
		for _, c := range ctrl.Update(now, m) {
			if a, ok := c.(admission.AdmitCmd); ok {
				r := rank.Rank(a.ID[0] - '0')
				*started.Ref(r)++
				ends[now+durations.At(r)] = append(ends[now+durations.At(r)], a.ID)
			}
		}
	}
	for seq := 0; now < 5000; now++ {
		for _, id := range ends[now] {
			perform(admission.DoneMsg{ID: id, ElapsedMs: durations.At(rank.Rank(id[0] - '0'))})
		}
		for _, r := range []rank.Rank{rank.Urgent, rank.Patient} {
			for ctrl.Queued(testService, r) < 50 {
				seq++
				perform(arrive(strconv.Itoa(int(r))+"-"+strconv.Itoa(seq), r))
			}
		}
	}
	total := started.At(rank.Urgent) + started.At(rank.Patient)
	if got := 100 * started.At(rank.Patient) / total; got < 18 {
		t.Errorf("patient got %d%% of the queries, want at least nine tenths of its floor of 20%%", got)
	}
	if got := 100 * started.At(rank.Urgent) / total; got < 70 {
		t.Errorf("urgent got %d%% of the queries, want at least 70%%", got)
	}
}
