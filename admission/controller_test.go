package admission_test

import (
	"testing"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

const testService = "search"

func testPreset(urgent, ordinary, patient float64) preset.Preset {
	return preset.Preset{
		Urgent:   preset.RankPolicy{DeadlineMs: 500, FloorPercent: urgent, QueueRequests: 3},
		Ordinary: preset.RankPolicy{DeadlineMs: 1000, FloorPercent: ordinary, QueueRequests: 3},
		Patient:  preset.RankPolicy{DeadlineMs: 30_000, FloorPercent: patient, QueueRequests: 3},
	}
}

func arrive(id string, r rank.Rank) admission.ArrivalMsg {
	return admission.ArrivalMsg{ID: id, Rank: r, Service: testService, Cost: 1}
}

func finish(id string) admission.DoneMsg { return admission.DoneMsg{ID: id, ElapsedMs: 10} }

type step struct {
	at  clock.Millis
	msg admission.Msg
}

// TestDecisions guards against a query that is wrongly admitted, queued or refused.
func TestDecisions(t *testing.T) {
	fillLimit := []step{{1, arrive("a", rank.Patient)}, {1, arrive("b", rank.Patient)}}
	shortDeadline := testPreset(50, 25, 10)
	shortDeadline.Urgent.DeadlineMs = 20
	tests := []struct {
		name          string
		steps         []step
		wantDecisions string // decisions in order: +id admitted, -id:reason refused
	}{
		{"capacity left", nil, "+a +b"},
		{"urgent before patient", []step{{2, arrive("c", rank.Patient)}, {2, arrive("d", rank.Urgent)}, {9, finish("a")}, {9, finish("b")}}, "+a +b +d +c"},
		{"duplicate id", []step{{2, arrive("a", rank.Urgent)}}, "+a +b -a:duplicate_id"},
		{"unknown service", []step{{2, admission.ArrivalMsg{ID: "x", Service: "none"}}}, "+a +b -x:unknown_service"},
		{"draining", []step{{2, arrive("c", rank.Urgent)}, {2, admission.DrainMsg{}}, {3, arrive("d", rank.Urgent)}, {9, finish("a")}}, "+a +b -d:draining +c"},
		{"draining past the deadline", []step{{2, arrive("c", rank.Urgent)}, {2, admission.DrainMsg{}}, {502, admission.TickMsg{}}}, "+a +b -c:too_late"},
		{"cancelled while queued", []step{{2, arrive("c", rank.Urgent)}, {3, admission.CancelMsg{ID: "c"}}, {9, finish("a")}, {600, admission.TickMsg{}}}, "+a +b"},
		{"deadline passed at arrival", []step{{9, admission.ArrivalMsg{ID: "c", Service: testService, Deadline: 9}}}, "+a +b -c:too_late"},
		{"deadline shorter than the median time", []step{{9, finish("a")}, {9, admission.ArrivalMsg{ID: "c", Rank: rank.Patient, Service: testService, Deadline: 18}}}, "+a +b -c:too_late"},
		{"deadline shorter than slow queries", []step{{9, admission.DoneMsg{ID: "a", ElapsedMs: 800}}, {9, arrive("c", rank.Patient)}, {10, admission.DoneMsg{ID: "c", ElapsedMs: 60_000}}, {10, admission.DoneMsg{ID: "b", ElapsedMs: 60_000}}, {20, arrive("d", rank.Patient)}}, "+a +b +c -d:too_late"},
		{"slow queries, expired from the window after a second", []step{{9, admission.DoneMsg{ID: "a", ElapsedMs: 60_000}}, {9, admission.DoneMsg{ID: "b", ElapsedMs: 60_000}}, {1010, arrive("c", rank.Patient)}}, "+a +b +c"},
		{"shorter deadline under a new preset", []step{{2, arrive("c", rank.Urgent)}, {3, admission.PresetMsg{Preset: shortDeadline}}, {30, finish("a")}}, "+a +b -c:too_late"},
		{"queued, with time for a slow query", []step{{2, arrive("c", rank.Urgent)}, {3, finish("a")}, {4, arrive("d", rank.Urgent)}, {240, admission.DoneMsg{ID: "c", ElapsedMs: 150}}}, "+a +b +c +d"},
		{"queued, with time for a median query only", []step{{2, arrive("c", rank.Urgent)}, {3, finish("a")}, {4, arrive("d", rank.Urgent)}, {260, admission.DoneMsg{ID: "c", ElapsedMs: 150}}}, "+a +b +c -d:too_late"},
		{"full queue, newest patient query refused", []step{
			{2, arrive("c", rank.Patient)}, {2, arrive("d", rank.Patient)}, {2, arrive("e", rank.Patient)}, {2, arrive("f", rank.Patient)},
		}, "+a +b -f:queue_full"},
		{"full queue, oldest urgent query evicted", []step{
			{2, arrive("c", rank.Urgent)}, {2, arrive("d", rank.Urgent)}, {2, arrive("e", rank.Urgent)}, {2, arrive("f", rank.Urgent)},
		}, "+a +b -c:displaced"},
		{"overloaded, newest urgent first", []step{{2, arrive("c", rank.Urgent)}, {290, arrive("d", rank.Urgent)}, {300, finish("a")}, {301, finish("b")}}, "+a +b +d +c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctrl := admission.New(admission.WithService(testService, 2, 2), admission.WithPreset(testPreset(50, 25, 10)))
			got := ""
			for _, s := range append(append([]step{}, fillLimit...), tt.steps...) {
				for _, c := range ctrl.Update(s.at, s.msg) {
					got += decision(t, c)
				}
			}
			if got != " "+tt.wantDecisions {
				t.Errorf("got %q, want %q", got, " "+tt.wantDecisions)
			}
		})
	}
}

func decision(t *testing.T, c admission.Cmd) string {
	switch c := c.(type) {
	case admission.AdmitCmd:
		return " +" + c.ID
	case admission.RefuseCmd:
		if c.RetryAfterMs <= 0 {
			t.Errorf("got retry delay of %d ms for %s, want more than 0", c.RetryAfterMs, c.ID)
		}
		return " -" + c.ID + ":" + c.Reason.String()
	default:
		return ""
	}
}

// TestLendingAndFloors guards against unused capacity, and against a rank that does
// not regain its floor after its capacity was lent to other ranks.
func TestLendingAndFloors(t *testing.T) {
	p := testPreset(50, 30, 20)
	p.Patient.QueueRequests, p.Ordinary.QueueRequests, p.Urgent.QueueRequests = 100, 100, 100
	ctrl := admission.New(admission.WithService(testService, 20, 20), admission.WithPreset(p))
	ids := map[rank.Rank][]string{}
	perform := func(now clock.Millis, m admission.Msg) {
		for _, c := range ctrl.Update(now, m) {
			if a, ok := c.(admission.AdmitCmd); ok {
				r := rank.Rank(a.ID[0] - '0')
				ids[r] = append(ids[r], a.ID)
			}
		}
	}
	submitMany := func(r rank.Rank) {
		for i := range 50 {
			perform(1, arrive(string(rune('0'+r))+string(rune('A'+i)), r))
		}
	}
	submitMany(rank.Patient)
	if got := ctrl.Running(testService, rank.Patient); got != 20 {
		t.Fatalf("got %d patient queries running alone, want the whole limit of 20", got)
	}
	submitMany(rank.Ordinary)
	submitMany(rank.Urgent)
	for i := range 20 {
		id := ids[rank.Patient][i]
		perform(clock.Millis(2+i), finish(id))
	}
	want := rank.NewTable(10, 6, 4)
	for _, r := range rank.All() {
		if got := ctrl.Running(testService, r); got != want.At(r) {
			t.Errorf("got %d %s queries running, want %d", got, r, want.At(r))
		}
	}
}
