package admission_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// TestExactlyOneDecision guards against queries with no decision or with two, and
// against a running cost above the limit at the time of admission.
func TestExactlyOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctrl := admission.New(admission.WithService(testService, 6, 12), admission.WithPreset(testPreset(50, 25, 10)))
		now := clock.Millis(1)
		var running []string
		decisions, cancelled, arrivals := map[string]int{}, map[string]bool{}, 0
		perform := func(m admission.Msg) {
			admitted := false
			for _, c := range ctrl.Update(now, m) {
				switch c := c.(type) {
				case admission.AdmitCmd:
					decisions[c.ID]++
					running = append(running, c.ID)
					admitted = true
				case admission.RefuseCmd:
					decisions[c.ID]++
				}
			}
			cost := 0
			for _, r := range rank.All() {
				cost += ctrl.RunningCost(testService, r)
			}
			if admitted && cost > ctrl.Limit(testService) && len(running) > 1 {
				t.Fatalf("got running cost %d of %d queries, want at most %d", cost, len(running), ctrl.Limit(testService))
			}
			if at, ok := ctrl.NextWake(); ok && at <= now {
				t.Fatalf("got next wake at %d at time %d, want a later one", at, now)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "elapsed"))
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0, 1, 2, 3:
				arrivals++
				perform(admission.ArrivalMsg{
					ID: strconv.Itoa(arrivals), Service: testService,
					Rank:     rank.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
					Cost:     rapid.IntRange(1, 4).Draw(t, "cost"),
					Deadline: now + clock.Millis(rapid.IntRange(0, 400).Draw(t, "time left")),
				})
			case 4, 5:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(t, "finished")
					id := running[i]
					running = append(running[:i], running[i+1:]...)
					wait := clock.Millis(rapid.IntRange(0, 20).Draw(t, "wait"))
					perform(admission.DoneMsg{ID: id, QueueMs: wait, ElapsedMs: 10 + wait})
				}
			case 6:
				id := strconv.Itoa(rapid.IntRange(0, arrivals).Draw(t, "cancelled id"))
				if decisions[id] == 0 {
					cancelled[id] = true
				}
				perform(admission.CancelMsg{ID: id})
			case 7:
				floor := float64(rapid.IntRange(0, 40).Draw(t, "floor"))
				perform(admission.PresetMsg{Preset: testPreset(floor, 30, 10)})
			}
		}
		now += clock.Minute
		perform(admission.TickMsg{})
		for i := 1; i <= arrivals; i++ {
			id := strconv.Itoa(i)
			if got := decisions[id]; got != 1 && (got != 0 || !cancelled[id]) {
				t.Fatalf("query %s got %d decisions, cancelled %v; want 1, or 0 if cancelled", id, got, cancelled[id])
			}
		}
		for _, r := range rank.All() {
			if got := ctrl.Queued(testService, r); got != 0 {
				t.Fatalf("got %d %s queries queued after all deadlines, want 0", got, r)
			}
		}
	})
}
