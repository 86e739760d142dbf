package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

// Msg is an input of the Model.
type Msg interface{ orderMsg() }

// Cmd is an action that the Model asks its runtime to perform.
type Cmd interface{ orderCmd() }

// SubmitMsg is an order from a caller. Call is returned in the Answer, because
// the same id may be submitted more than once at the same time.
type SubmitMsg struct {
	CallID   uint64
	ID       string
	Rank     rank.Rank
	Service  string
	Group    string
	Body     []byte
	Deadline clock.Millis
	Outage   preset.OutageRule
}

// Op is what a ClaimRequestMsg asks of the owner.
type Op uint8

// The operations on claims. A claim is idempotent per token.
const (
	OpClaim Op = iota
	OpRelease
	OpMarkDone
)

// ClaimRequestMsg asks the owner of a partition for a change of one claim.
type ClaimRequestMsg struct {
	From         string
	Op           Op
	Token        Token
	ID           Hash
	IssuedAt     clock.Millis
	Timeout      clock.Millis // remaining time, so that clocks need not agree
	WaitForStore bool         // keep the claim queued while the store is down
}

// ClaimResult is the owner's answer to a ClaimRequestMsg.
type ClaimResult uint8

// The results of a claim or release. Unavailable means that this owner has not
// written the claim and has dropped the request.
const (
	ResultUnavailable ClaimResult = iota
	ResultClaimed
	ResultExists
	ResultExistsDone
	ResultExpired
	ResultReleased
)

// ClaimResponseMsg answers a ClaimRequestMsg.
type ClaimResponseMsg struct {
	Token  Token
	Result ClaimResult
}

// StoreMsg is the result of a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// AttemptReplyMsg is the result of a SendCmd.
type AttemptReplyMsg struct{ Reply attempt.Reply }

// LiveVMsMsg is the list of live VMs.
type LiveVMsMsg struct{ VMs []string }

// StopMsg starts the drain: new orders are refused, open ones are finished.
type StopMsg struct{}

// TickMsg lets the time pass.
type TickMsg struct{}

func (SubmitMsg) orderMsg()        {}
func (ClaimRequestMsg) orderMsg()  {}
func (ClaimResponseMsg) orderMsg() {}
func (StoreMsg) orderMsg()         {}
func (AttemptReplyMsg) orderMsg()  {}
func (LiveVMsMsg) orderMsg()       {}
func (StopMsg) orderMsg()          {}
func (TickMsg) orderMsg()          {}

// SendCmd starts one attempt under a claim.
type SendCmd struct {
	Request attempt.Request
	Token   Token
}

// StoreCmd asks for one call of the store.
type StoreCmd struct{ Request store.Request }

// PeerCmd sends Msg, a ClaimRequestMsg or ClaimResponseMsg, to another VM.
type PeerCmd struct {
	To  string
	Msg Msg
}

// AnswerCmd answers the caller.
type AnswerCmd struct{ Answer Answer }

// EventCmd records an event on the time line.
type EventCmd struct{ Event timeline.Event }

func (SendCmd) orderCmd()   {}
func (StoreCmd) orderCmd()  {}
func (PeerCmd) orderCmd()   {}
func (AnswerCmd) orderCmd() {}
func (EventCmd) orderCmd()  {}
