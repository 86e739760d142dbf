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

// SubmitMsg is an order from a caller. CallID is returned in the Answer, because
// the same order id may be submitted more than once at the same time.
type SubmitMsg struct {
	CallID   uint64
	ID       string
	Rank     rank.Rank
	Service  string
	Group    string
	Body     []byte
	Customer string // of the caller; empty if none
	Deadline clock.Millis
	Outage   preset.OutageRule
}

// Op is the operation that a ClaimRequestMsg requests.
type Op uint8

// The operations on claims. All are idempotent per token.
const (
	OpClaim Op = iota
	OpRelease
	OpMarkDone
)

// ClaimRequestMsg asks the owner of a partition to change one claim.
type ClaimRequestMsg struct {
	From         string
	Op           Op
	Token        Token
	ID           Hash
	IssuedAt     clock.Millis
	Timeout      clock.Millis // relative, so that the clocks of the VMs need not agree
	WaitForStore bool         // keep the claim queued while the store is unavailable
}

// ClaimResult is the result of a ClaimRequestMsg.
type ClaimResult uint8

// The results of a claim or release. ResultUnavailable means that this owner did
// not write the claim and dropped the request.
const (
	ResultUnavailable ClaimResult = iota
	ResultClaimed
	ResultExists
	ResultExistsDone
	ResultExpired
	ResultReleased
)

// ClaimResponseMsg is the owner's response to a ClaimRequestMsg.
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

// StopMsg starts the drain: new orders are refused, open ones are completed.
type StopMsg struct{}

// TickMsg runs the timers that are due.
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

// StoreCmd requests one store call.
type StoreCmd struct{ Request store.Request }

// PeerCmd sends Msg, a ClaimRequestMsg or ClaimResponseMsg, to another VM.
type PeerCmd struct {
	To  string
	Msg Msg
}

// AnswerCmd answers the caller.
type AnswerCmd struct{ Answer Answer }

// EventCmd records an event on the timeline.
type EventCmd struct{ Event timeline.Event }

func (SendCmd) orderCmd()   {}
func (StoreCmd) orderCmd()  {}
func (PeerCmd) orderCmd()   {}
func (AnswerCmd) orderCmd() {}
func (EventCmd) orderCmd()  {}
