package relay_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// TestReturnedEntry guards against new work for an upstream that has left, because a store
// that came back from an older copy still has its entry, and against losing one whose entry
// only lapsed.
func TestReturnedEntry(t *testing.T) {
	// entry is a report, and where the store has it.
	entry := func(era, revision, incarnation, sequence uint64, leaving bool) relay.UpstreamMsg {
		msg := registered(incarnation, sequence)
		msg.Upstream.Leaving, msg.Era, msg.Revision = leaving, era, revision
		return msg
	}
	removed := func(era uint64) relay.Msg { return relay.UpstreamRemovedMsg{ID: "u0", Era: era} }
	other := registered(8, 1) // newer than u0
	other.Upstream.ID, other.Upstream.Service = "u9", "s9"
	returned := func(incarnation uint64) relay.Msg {
		msg := entry(2, 50, incarnation, 3, false)
		msg.Returned = true
		return msg
	}
	tests := []struct {
		name  string
		msgs  []relay.Msg
		after clock.Millis // until the request
		want  bool         // whether the upstream gets new work
	}{
		{"entry of the copy", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 50, 7, 3, false)}, 10, false},
		{"earlier entry of the copy", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 40, 7, 2, false)}, 10, false},
		{"entry of an earlier incarnation", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 40, 6, 9, false)}, 10, false},
		{"entry of the copy, removed there too", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 50, 7, 3, false), removed(2)}, 20_000, false},
		{"entry of the copy that its upstream keeps alive", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 50, 7, 3, false)}, 20_000, true},
		{"draining, and ready in the copy", []relay.Msg{entry(1, 50, 7, 3, true), removed(1), entry(2, 40, 7, 2, false)}, 20_000, false},
		{"draining, not removed, and ready in the copy", []relay.Msg{entry(1, 50, 7, 3, true), entry(2, 40, 7, 2, false)}, 10, false},
		{"written again unchanged", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 61, 7, 3, false)}, 10, true},
		{"written again with the next sequence number", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 45, 7, 4, false)}, 10, true},
		{"copy, then the next report", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 50, 7, 3, false), entry(2, 61, 7, 4, false)}, 10, true},
		{"restarted", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 45, 8, 1, false)}, 10, true},
		{"lapsed in the same era", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 3, false)}, 10, true},
		{"lost in the copy and late to return", []relay.Msg{entry(1, 50, 7, 3, false), removed(2), entry(2, 45, 7, 3, false)}, 10, true},
		{"removed before this VM started", []relay.Msg{other, returned(7)}, 10, false},
		{"removed before this VM started, and kept alive", []relay.Msg{other, returned(7)}, 20_000, true},
		{"started after the return", []relay.Msg{other, returned(9)}, 10, true},
		{"late write", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 2, false)}, 10, false},
		{"late write, removed too", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 2, false), removed(1)}, 20_000, false},
		{"late write in a later era", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(2, 60, 7, 2, false)}, 10, false},
		{"late write of an earlier incarnation", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 6, 9, false)}, 10, false},
		{"two late writes", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 1, false), entry(1, 61, 7, 2, false)}, 10, false},
		{"late write of one that was draining", []relay.Msg{entry(1, 50, 7, 3, true), removed(1), entry(1, 60, 7, 2, false)}, 20_000, false},
		{"late write that is still there", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 2, false)}, 20_000, true},
		{"late write, then the next report", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 2, false), entry(1, 61, 7, 4, false)}, 10, true},
		{"lapsed, and the counter starts anew", []relay.Msg{entry(1, 50, 7, 9, false), removed(1), entry(1, 60, 7, 1, false), entry(1, 61, 7, 2, false), entry(1, 62, 7, 3, false), entry(1, 63, 7, 4, false)}, 10, true},
		{"restarted in the same era", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 8, 1, false)}, 10, true},
		{"restarted after a late write", []relay.Msg{entry(1, 50, 7, 3, false), removed(1), entry(1, 60, 7, 2, false), entry(1, 61, 8, 1, false)}, 10, true},
		{"store without eras", []relay.Msg{entry(0, 50, 7, 3, false), removed(0), entry(0, 40, 7, 2, false)}, 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 0)
			now := clock.Millis(1000)
			for _, msg := range tt.msgs {
				now += 10
				m.Update(now, msg)
			}
			for end := now + tt.after; now < end; now++ {
				if at, ok := m.NextWake(); ok && at <= now {
					m.Update(now, relay.TickMsg{})
				}
			}
			if got := sendsTo(m, now, 1, "u0"); got != tt.want {
				t.Errorf("got work for the upstream %t, want %t", got, tt.want)
			}
		})
	}
}
