package timeline_test

import (
	"bytes"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// TestRingKeepsNewest guards against the loss of recent events when the ring wraps around.
func TestRingKeepsNewest(t *testing.T) {
	r := timeline.NewRing("vm-1", 3)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		r.Add(10, timeline.Event{Kind: timeline.Queued, Request: id})
	}
	events := r.Events(timeline.Filter{})
	var got string
	for _, ev := range events {
		got += ev.Request
	}
	if want := "cde"; got != want {
		t.Errorf("kept events = %q, want %q", got, want)
	}
	if got, want := r.Dropped(), uint64(2); got != want {
		t.Errorf("Dropped() = %d, want %d", got, want)
	}
}

// TestMergeOrdersCauseBeforeEffect guards against a receiver whose clock is
// behind, so that its events sort before the message that caused them.
func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	sender := timeline.NewRing("vm-b", 8)
	receiver := timeline.NewRing("vm-a", 8)
	sent := sender.Add(1000, timeline.Event{Kind: timeline.PresetSwitched})
	receiver.Observe(400, sent.Timestamp)
	receiver.Add(400, timeline.Event{Kind: timeline.PresetApplied})
	merged := timeline.Merge(receiver.Events(timeline.Filter{}), sender.Events(timeline.Filter{}))
	if got, want := merged[0].Kind, timeline.PresetSwitched; got != want {
		t.Errorf("first event = %s, want %s", got, want)
	}
}

// TestObserveIgnoresFarFutureTimestamp guards against one VM with a wrong clock
// that moves the timestamps of all VMs into the future.
func TestObserveIgnoresFarFutureTimestamp(t *testing.T) {
	r := timeline.NewRing("vm-1", 8)
	r.Observe(1000, clock.Timestamp{WallMs: 1000 + 10*clock.Hour})
	got := r.Add(1001, timeline.Event{}).Timestamp.WallMs
	if want := clock.Millis(1001); got != want {
		t.Errorf("timestamp = %d, want %d", got, want)
	}
}

// TestFilter guards against a filter that selects wrong events or misses matching ones.
func TestFilter(t *testing.T) {
	ev := timeline.Event{
		Timestamp: clock.Timestamp{WallMs: 50, Logical: 1}, Kind: timeline.Refused,
		Request: "q1", Upstream: "plots/g1/0", Revision: 7,
	}
	for name, tc := range map[string]struct {
		filter timeline.Filter
		want   bool
	}{
		"empty":                {timeline.Filter{}, true},
		"request":              {timeline.Filter{Request: "q1"}, true},
		"other request":        {timeline.Filter{Request: "q2"}, false},
		"service prefix":       {timeline.Filter{Upstream: "plots/"}, true},
		"other upstream":       {timeline.Filter{Upstream: "plots/g1/1"}, false},
		"revision":             {timeline.Filter{Revision: 7}, true},
		"other revision":       {timeline.Filter{Revision: 8}, false},
		"other kind":           {timeline.Filter{Kind: timeline.Queued}, false},
		"since later":          {timeline.Filter{SinceMs: 51}, false},
		"after same timestamp": {timeline.Filter{After: ev.Timestamp}, false},
		"after earlier":        {timeline.Filter{After: clock.Timestamp{WallMs: 50}}, true},
	} {
		if got := tc.filter.Matches(ev); got != tc.want {
			t.Errorf("%s: Matches = %v, want %v", name, got, tc.want)
		}
	}
}

// TestWritePlot guards against a plot that fails in a supported image format.
func TestWritePlot(t *testing.T) {
	events := []timeline.Event{
		{Timestamp: clock.Timestamp{WallMs: 1000}, VM: "vm-1", Kind: timeline.Queued},
		{Timestamp: clock.Timestamp{WallMs: 2000}, VM: "vm-2", Kind: timeline.Refused},
	}
	for format, magic := range map[string]string{"png": "\x89PNG", "svg": "<?xml"} {
		var buf bytes.Buffer
		if err := timeline.WritePlot(&buf, events, format); err != nil {
			t.Fatalf("WritePlot(%s): %v", format, err)
		}
		if got := buf.Bytes()[:len(magic)]; string(got) != magic {
			t.Errorf("WritePlot(%s) starts with %q, want %q", format, got, magic)
		}
	}
}
