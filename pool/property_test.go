package pool_test

import (
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/rank"
)

// modelChecker sends random messages to a Model and tracks the attempts to check
// its invariants.
type modelChecker struct {
	t        *rapid.T
	m        *pool.Model
	now      clock.Millis
	seq      uint64
	limit    int
	running  map[uint64]bool
	aborted  map[uint64]bool
	returned map[uint64]int
	sent     map[uint64]bool
}

// TestExactlyOnce guards against lost or duplicate results, an exceeded connection
// limit and attempts that are returned as not executed although they were sent.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &modelChecker{
			t: t, limit: 3, running: map[uint64]bool{}, aborted: map[uint64]bool{},
			returned: map[uint64]int{}, sent: map[uint64]bool{},
			m: pool.New(pool.WithUpstream(upstreamID, 3), pool.WithQueueLimits(rank.NewTable(3, 3, 3))),
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.now += clock.Millis(rapid.IntRange(0, 30).Draw(t, "dt"))
			h.perform(h.m.Update(h.now, pool.TickMsg{}))
			h.step()
			h.check()
		}
		h.finish()
	})
}

func (h *modelChecker) step() {
	seq := rapid.Uint64Range(0, h.seq).Draw(h.t, "known")
	switch rapid.IntRange(0, 9).Draw(h.t, "kind") {
	case 0, 1, 2, 3:
		h.seq++
		r := rank.Rank(rapid.IntRange(0, 2).Draw(h.t, "rank"))
		h.update(request(h.seq, r, rapid.Uint32Range(0, 3).Draw(h.t, "priority"),
			h.now+clock.Millis(rapid.IntRange(-5, 200).Draw(h.t, "budget"))))
	case 4, 5, 6:
		delete(h.running, seq)
		h.update(reply(seq, attempt.Status(rapid.IntRange(0, 9).Draw(h.t, "status"))))
	case 7:
		h.update(pool.CancelMsg{ID: request(seq, 0, 0, 0).ID})
	case 8:
		if h.aborted[seq] {
			delete(h.running, seq)
			h.update(pool.AbortedMsg{ID: request(seq, 0, 0, 0).ID})
		}
	case 9:
		h.limit = rapid.IntRange(0, 4).Draw(h.t, "limit")
		h.update(pool.LimitMsg{Upstream: upstreamID, Connections: h.limit})
		h.update(pool.AvailableMsg{Upstream: upstreamID})
	}
}

func (h *modelChecker) update(msg pool.Msg) {
	h.perform(h.m.Update(h.now, msg))
}

func (h *modelChecker) perform(cmds []pool.Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case pool.DispatchCmd:
			if h.sent[c.ID.Seq] || h.returned[c.ID.Seq] > 0 {
				h.t.Fatalf("attempt %d dispatched after it was sent or returned", c.ID.Seq)
			}
			h.sent[c.ID.Seq], h.running[c.ID.Seq] = true, true
			if got := h.m.BusyConns(upstreamID); got > h.limit {
				h.t.Fatalf("got %d busy connections after a dispatch, want at most %d", got, h.limit)
			}
		case pool.AbortCmd:
			h.aborted[c.ID.Seq] = true
		case pool.ReturnCmd:
			h.returned[c.ID.Seq]++
			if !h.sent[c.ID.Seq] && c.Execution != attempt.NotExecuted {
				h.t.Fatalf("attempt %d was not sent, got execution %s", c.ID.Seq, c.Execution)
			}
			if h.sent[c.ID.Seq] && c.Status == attempt.TimedOut && c.Execution == attempt.NotExecuted {
				h.t.Fatalf("attempt %d was sent, but returned as timed out and not executed", c.ID.Seq)
			}
		}
	}
}

func (h *modelChecker) check() {
	for seq, n := range h.returned {
		if n > 1 {
			h.t.Fatalf("attempt %d returned %d times", seq, n)
		}
	}
	if at, ok := h.m.NextWake(); ok && at < h.now {
		h.t.Fatalf("NextWake returned %d, which is before now, %d", at, h.now)
	}
}

// finish advances the time with NextWake until nothing is scheduled, and checks
// that every attempt was returned.
func (h *modelChecker) finish() {
	for range 1000 {
		at, ok := h.m.NextWake()
		if !ok {
			break
		}
		h.now = max(h.now, at)
		h.perform(h.m.Update(h.now, pool.TickMsg{}))
	}
	for seq := uint64(1); seq <= h.seq; seq++ {
		if h.returned[seq] != 1 {
			h.t.Fatalf("attempt %d returned %d times, want once", seq, h.returned[seq])
		}
	}
	if got := h.m.BusyConns(upstreamID); got != 0 || !h.m.Idle() {
		h.t.Fatalf("got %d busy connections at the end, want 0 and no attempts", got)
	}
}
