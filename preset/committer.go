package preset

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Committer.
type Msg interface{ committerMsg() }

// StartMsg starts the change.
type StartMsg struct{}

// StoreMsg is the reply to a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// TickMsg reports that the time returned by NextWake has passed.
type TickMsg struct{}

func (StartMsg) committerMsg() {}
func (StoreMsg) committerMsg() {}
func (TickMsg) committerMsg()  {}

// Cmd is an output of a Committer.
type Cmd interface{ committerCmd() }

// StoreCmd requests one store call.
type StoreCmd struct{ Request store.Request }

// ResultCmd ends the change. It is returned exactly once.
type ResultCmd struct{ Result Result }

func (StoreCmd) committerCmd()  {}
func (ResultCmd) committerCmd() {}

// Acceptance is whether the store accepted a change, as far as is known.
type Acceptance string

// The values of Acceptance.
const (
	Accepted          Acceptance = "yes"
	NotAccepted       Acceptance = "no"
	AcceptanceUnknown Acceptance = "unknown" // read the record again and look for the change identifier
)

// Result is the outcome of a change as reported to the operator.
type Result struct {
	Accepted Acceptance
	Record   Record // newest committed record that was read; revision 0 if none was read
	Err      error  // nil if Accepted is yes
	// Superseded is set if the change was accepted and a later one has replaced it.
	Superseded bool
}

// Committer commits one operator's change to the record in the store.
//
// It reads the record, applies the change and writes the result with a
// compare-and-swap. After a lost reply it sends the same swap again: both swaps
// expect the same store revision, so at most one takes effect, and a conflict
// proves that the outcome can be read back by the change identifier.
type Committer struct {
	change   Change
	known    Record
	deadline clock.Millis
	tag      uint64

	step            step
	sentAt          clock.Millis
	retryAt         clock.Millis // 0 while a call is outstanding
	baseEntry       store.Entry
	next            Record
	encoded         []byte
	unresolvedSwaps int  // swaps without a reply, which may have taken effect
	conflicted      bool // a swap got a conflict as its reply
	lastRead        Record
}

type step uint8

const (
	stepIdle step = iota
	stepRead
	stepSwap
	stepReadBack
	stepDone
)

const (
	callTimeoutMs clock.Millis = 1000 // a call without a reply counts as lost after this time
	retryPauseMs  clock.Millis = 200
)

// NewCommitter returns a Committer that stops retrying at deadline. known is the
// newest committed record of this VM: the new revision exceeds its revision
// even if the store was restored from an old copy or emptied.
func NewCommitter(change Change, known Record, deadline clock.Millis) *Committer {
	return &Committer{change: change, known: known, deadline: deadline}
}

// Update handles one message.
func (c *Committer) Update(now clock.Millis, msg Msg) []Cmd {
	if c.step == stepDone {
		return nil
	}
	switch msg := msg.(type) {
	case StartMsg:
		if c.step == stepIdle {
			return c.startCall(now, stepRead)
		}
	case StoreMsg:
		if msg.Reply.Tag == c.tag && c.retryAt == 0 {
			return c.handleReply(now, msg.Reply)
		}
	}
	return c.tick(now)
}

func (c *Committer) tick(now clock.Millis) []Cmd {
	switch {
	case c.step == stepIdle:
		return nil
	case now >= c.deadline:
		return c.giveUp()
	case c.retryAt != 0 && now >= c.retryAt:
		return c.startCall(now, c.step)
	case c.retryAt == 0 && now >= c.sentAt+callTimeoutMs:
		return c.handleFailure(now, store.KindUnknown)
	}
	return nil
}

func (c *Committer) startCall(now clock.Millis, s step) []Cmd {
	c.step, c.sentAt, c.retryAt = s, now, 0
	c.tag++
	req := store.Request{Requester: "preset", Tag: c.tag, Op: store.OpGet, Key: StoreKey}
	if s == stepSwap {
		req.Op, req.Value, req.Revision = store.OpSwap, c.encoded, c.baseEntry.Revision
		c.unresolvedSwaps++
	}
	return []Cmd{StoreCmd{req}}
}

func (c *Committer) handleReply(now clock.Millis, r store.Reply) []Cmd {
	if r.Kind != store.KindOK && r.Kind != store.KindConflict {
		return c.handleFailure(now, r.Kind)
	}
	switch c.step {
	case stepRead:
		return c.swapChange(now, r.Entry)
	case stepSwap:
		if r.Kind == store.KindOK {
			return c.finish(Result{Accepted: Accepted, Record: c.next})
		}
		c.conflicted = true
		return c.startCall(now, stepReadBack)
	default:
		return c.readBack(r.Entry)
	}
}
