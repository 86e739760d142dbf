package preset

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// NextWake returns when the Committer needs its next TickMsg, or false if it
// needs none.
func (c *Committer) NextWake() (clock.Millis, bool) {
	switch {
	case c.step == stepIdle || c.step == stepDone:
		return 0, false
	case c.retryAt != 0:
		return min(c.retryAt, c.deadline), true
	}
	return min(c.sentAt+callTimeoutMs, c.deadline), true
}

// swapChange applies the change to the record that was read and starts the swap.
func (c *Committer) swapChange(now clock.Millis, entry store.Entry) []Cmd {
	rec := c.known
	if entry.Revision > 0 {
		stored, err := Decode(entry.Value)
		if err != nil {
			return c.finish(Result{Accepted: NotAccepted, Err: err})
		}
		// A store restored from an old copy must not undo changes that the VMs have already applied.
		if stored.Revision >= rec.Revision {
			rec = stored
		}
	}
	if rec.Revision == 0 {
		rec = Default()
	}
	c.lastRead = rec
	if past, ok := rec.FindChange(c.change.ID); ok {
		return c.finish(Result{Accepted: Accepted, Record: rec, Superseded: past.Revision != rec.Revision})
	}
	next, err := Apply(rec, c.change)
	if err != nil {
		return c.finish(Result{Accepted: NotAccepted, Record: rec, Err: err})
	}
	c.baseEntry, c.next = entry, next
	if c.encoded, err = Encode(next); err != nil {
		return c.finish(Result{Accepted: NotAccepted, Record: rec, Err: err})
	}
	return c.startCall(now, stepSwap)
}

// handleFailure handles a call that the store did not answer or did not accept.
// It retries the same step until the deadline.
func (c *Committer) handleFailure(now clock.Millis, kind store.Kind) []Cmd {
	if kind == store.KindTooLarge {
		err := newError("change", KindInvalid, "the store rejected a record of %d bytes as too large", len(c.encoded))
		return c.finish(Result{Accepted: NotAccepted, Record: c.lastRead, Err: err})
	}
	if c.step == stepSwap && kind == store.KindUnavailable {
		c.unresolvedSwaps-- // the store did not accept the call
	}
	c.retryAt = now + retryPauseMs
	if now >= c.deadline {
		return c.giveUp()
	}
	return nil
}

// readBack looks for the change in the record that was read after a conflict.
func (c *Committer) readBack(entry store.Entry) []Cmd {
	if entry.Revision == 0 {
		return c.finish(Result{Accepted: AcceptanceUnknown, Err: newError("change", KindUnknown, "the record no longer exists in the store")})
	}
	rec, err := Decode(entry.Value)
	if err != nil {
		return c.finish(Result{Accepted: AcceptanceUnknown, Err: err})
	}
	if past, ok := rec.FindChange(c.change.ID); ok {
		return c.finish(Result{Accepted: Accepted, Record: rec, Superseded: past.Revision != rec.Revision})
	}
	if rec.Revision > c.next.Revision+uint64(len(rec.History)) {
		err := newError("change", KindUnknown, "the history no longer contains revision %d", c.next.Revision)
		return c.finish(Result{Accepted: AcceptanceUnknown, Record: rec, Err: err})
	}
	err = newError("change", KindConflict, "the change is not in force, another change was written first: %s", rec.LatestChange())
	return c.finish(Result{Accepted: NotAccepted, Record: rec, Err: err})
}

func (c *Committer) giveUp() []Cmd {
	if c.unresolvedSwaps > 0 || c.conflicted {
		err := newError("change", KindUnknown,
			"it is unknown whether the write took effect; check the history for change %s before retrying", c.change.ID)
		return c.finish(Result{Accepted: AcceptanceUnknown, Record: c.lastRead, Err: err})
	}
	err := newError("change", KindUnavailable, "the store cannot be reached; the change was not written and is not in force")
	return c.finish(Result{Accepted: NotAccepted, Record: c.lastRead, Err: err})
}

func (c *Committer) finish(r Result) []Cmd {
	c.step = stepDone
	return []Cmd{ResultCmd{r}}
}
