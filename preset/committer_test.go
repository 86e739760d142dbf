package preset_test

import (
	"errors"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// fakeStore holds one entry and applies the next of faults to each call:
//   - "": none
//   - "down": the store is unavailable; the call has no effect
//   - "lost before": the request is lost; the call has no effect and its outcome is unknown
//   - "lost after": the reply is lost; the call takes effect and its outcome is unknown
//   - "silent": the call takes effect, but the committer receives no reply
//   - "rival": another change is written before the call
type fakeStore struct {
	entry  store.Entry
	faults []string
}

func (s *fakeStore) call(r store.Request) (store.Reply, bool) {
	reply := store.Reply{Tag: r.Tag, Op: r.Op}
	fault := ""
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	if fault == "down" {
		reply.Kind = store.KindUnavailable
		return reply, true
	}
	if fault == "lost before" {
		reply.Kind = store.KindUnknown
		return reply, true
	}
	if fault == "rival" {
		s.change(preset.Change{ID: "rival", Author: "eve", Reason: "first", SwitchTo: "maintenance"})
	}
	if r.Op == store.OpSwap && r.Revision != s.entry.Revision {
		reply.Kind = store.KindConflict
		return reply, true
	}
	if r.Op == store.OpSwap {
		s.entry = store.Entry{Key: r.Key, Value: r.Value, Revision: s.entry.Revision + 7}
	}
	reply.Entry = s.entry
	if fault == "lost after" {
		reply.Kind = store.KindUnknown
	}
	return reply, fault != "silent"
}

func (s *fakeStore) change(c preset.Change) {
	rec, _ := preset.Decode(s.entry.Value)
	next, _ := preset.Apply(rec, c)
	s.entry.Value, _ = preset.Encode(next)
	s.entry.Revision += 3
}

func run(t *testing.T, c *preset.Committer, s *fakeStore) preset.Result {
	t.Helper()
	now := clock.Millis(0)
	cmds := c.Update(now, preset.StartMsg{})
	for range 1000 {
		if len(cmds) == 0 {
			wake, ok := c.NextWake()
			if !ok {
				t.Fatal("the committer ended without a result")
			}
			now = max(now, wake)
			cmds = c.Update(now, preset.TickMsg{})
			continue
		}
		cmd := cmds[0]
		cmds = cmds[1:]
		switch cmd := cmd.(type) {
		case preset.ResultCmd:
			return cmd.Result
		case preset.StoreCmd:
			if reply, answered := s.call(cmd.Request); answered {
				cmds = append(cmds, c.Update(now, preset.StoreMsg{Reply: reply})...)
			}
		}
	}
	t.Fatal("no result")
	return preset.Result{}
}

// TestCommitterResultMatchesStore guards against a result that contradicts the
// store, after replies or requests are lost or another change is written first.
func TestCommitterResultMatchesStore(t *testing.T) {
	downForever := make([]string, 200)
	for i := range downForever {
		downForever[i] = "down"
	}
	silentForever := make([]string, 200)
	for i := range silentForever {
		silentForever[i] = "silent"
	}
	tests := []struct {
		name       string
		faults     []string
		base       uint64
		want       preset.Acceptance
		kind       preset.Kind
		superseded bool
	}{
		{name: "no fault", want: preset.Accepted},
		{name: "answer lost after the write", faults: []string{"", "lost after"}, want: preset.Accepted},
		{name: "no reply after the write", faults: []string{"", "silent"}, want: preset.Accepted},
		{name: "request lost before the write", faults: []string{"", "lost before"}, want: preset.Accepted},
		{name: "short outage", faults: []string{"down", "down", "", "down"}, want: preset.Accepted},
		{name: "concurrent change between read and write", faults: []string{"", "rival"}, want: preset.NotAccepted, kind: preset.KindConflict},
		{name: "lost after the write, then concurrent change", faults: []string{"", "lost after", "rival"}, want: preset.Accepted, superseded: true},
		{name: "lost before the write, then concurrent change", faults: []string{"", "lost before", "rival"}, want: preset.NotAccepted, kind: preset.KindConflict},
		{name: "outage", faults: downForever, want: preset.NotAccepted, kind: preset.KindUnavailable},
		{name: "outage right after the write", faults: append([]string{"", "lost after"}, downForever...), want: preset.AcceptanceUnknown, kind: preset.KindUnknown},
		{name: "no reply from the first write on", faults: append([]string{""}, silentForever...), want: preset.AcceptanceUnknown, kind: preset.KindUnknown},
		{name: "outdated base revision", base: 9, want: preset.NotAccepted, kind: preset.KindConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			value, _ := preset.Encode(preset.Default())
			s := &fakeStore{entry: store.Entry{Value: value, Revision: 4}, faults: tt.faults}
			change := preset.Change{ID: "mine", Author: "ann", Reason: "fair", SwitchTo: "peak", BaseRevision: tt.base}
			got := run(t, preset.NewCommitter(change, preset.Record{}, 10_000), s)
			if got.Accepted != tt.want || got.Superseded != tt.superseded {
				t.Fatalf("accepted %s superseded %v (%v), want %s %v", got.Accepted, got.Superseded, got.Err, tt.want, tt.superseded)
			}
			rec, _ := preset.Decode(s.entry.Value)
			_, found := rec.FindChange("mine")
			if tt.want != preset.AcceptanceUnknown && found != (tt.want == preset.Accepted) {
				t.Errorf("store holds the change: %v, reported %s", found, got.Accepted)
			}
			var e *preset.Error
			if tt.kind != 0 && (!errors.As(got.Err, &e) || e.Kind() != tt.kind) {
				t.Errorf("got error %v, want kind %s", got.Err, tt.kind)
			}
		})
	}
}

// TestRevisionExceedsKnown guards against a revision that VMs would reject as
// old, after the store lost its data or was restored from an old copy.
func TestRevisionExceedsKnown(t *testing.T) {
	known := preset.Default()
	known.Revision = 57
	old, _ := preset.Encode(preset.Default())
	for _, entry := range []store.Entry{{}, {Value: old, Revision: 2}} {
		change := preset.Change{ID: "c", Author: "a", Reason: "r", SwitchTo: "peak"}
		got := run(t, preset.NewCommitter(change, known, 10_000), &fakeStore{entry: entry})
		if got.Record.Revision != 58 {
			t.Errorf("got revision %d, want 58 (store entry %d)", got.Record.Revision, entry.Revision)
		}
	}
}
