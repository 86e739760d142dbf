package preset

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Changer.
type Msg interface{ committerMsg() }

// StartMsg begins the change.
type StartMsg struct{}

// StoreMsg carries the answer to a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// TickMsg reports that the time of NextWake has come.
type TickMsg struct{}

func (StartMsg) committerMsg() {}
func (StoreMsg) committerMsg() {}
func (TickMsg) committerMsg()  {}

// Cmd is an output of a Changer.
type Cmd interface{ committerCmd() }

// StoreCmd asks for one store call.
type StoreCmd struct{ Request store.Request }

// ResultCmd ends the change. It is returned exactly once.
type ResultCmd struct{ Result Result }

func (StoreCmd) committerCmd()  {}
func (ResultCmd) committerCmd() {}

// Acceptance says whether a change was accepted by the store.
type Acceptance string

// The values of Truth.
const (
	Accepted          Acceptance = "yes"
	NotAccepted       Acceptance = "no"
	AcceptanceUnknown Acceptance = "unknown" // read the record again and look for the change identifier
)

// Result tells the operator what became of the change.
type Result struct {
	Accepted Acceptance
	Record   Record // newest committed record that was read; revision 0 if none was
	Err      error  // nil if Accepted is yes
	// Superseded is set when the change was accepted and a later one has replaced it.
	Superseded bool
}

// Committer carries out one operator's change against the store.
//
// It reads the record, applies the change and compares and swaps. After a
// lost answer it sends the same swap again: because both swaps expect the same
// store revision, at most one takes effect, and a conflict proves that the
// outcome can be read back by the change identifier.
type Committer struct {
	change   Change
	known    Record
	deadline clock.Millis
	tag      uint64

	step            step
	sentAt          clock.Millis
	retryAt         clock.Millis // 0 if a call is outstanding
	baseEntry       store.Entry
	next            Record
	encoded         []byte
	unresolvedSwaps int  // swaps that may have taken effect without an answer
	conflicted      bool // a swap was answered with a conflict
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
	callTimeoutMs clock.Millis = 1000 // a call without an answer counts as lost
	retryPauseMs  clock.Millis = 200
)

// NewCommitter returns a Changer that gives up at deadline. known is the newest
// committed record of this VM: the new revision exceeds it even if the store
// was restored from an old copy or emptied.
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
	req := store.Request{Owner: "preset", Tag: c.tag, Op: store.OpGet, Key: StoreKey}
	if s == stepSwap {
		req.Op, req.Value, req.Expect = store.OpSwap, c.encoded, c.baseEntry.Revision
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
