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
	Call     uint64
	ID       string
	Rank     rank.Rank
	Service  string
	Group    string
	Body     []byte
	Deadline clock.Millis
	Outage   preset.OutageRule
}

// Op is what a ClaimMsg asks of the owner.
type Op uint8

// The operations on claims. A claim is idempotent per token.
const (
	OpClaim Op = iota
	OpRelease
	OpDone
)

// ClaimMsg asks the owner of a partition for a change of one claim.
type ClaimMsg struct {
	From   string
	Op     Op
	Token  Token
	ID     Hash
	Issued clock.Millis
	Budget clock.Millis // remaining time, so that clocks need not agree
	Wait   bool         // keep the claim queued while the store is down
}

// Result is the owner's answer to a ClaimMsg.
type Result uint8

// The results of a claim or release. Unavailable means that this owner has not
// written the claim and has dropped the request.
const (
	Unavailable Result = iota
	Claimed
	Exists
	ExistsDone
	Expired
	ReleaseWritten
)

// ClaimedMsg answers a ClaimMsg.
type ClaimedMsg struct {
	Token  Token
	Result Result
}

// StoreMsg is the result of a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// ReplyMsg is the result of a SendCmd.
type ReplyMsg struct{ Reply attempt.Reply }

// OwnersMsg is the list of live VMs.
type OwnersMsg struct{ Live []string }

// StopMsg starts the drain: new orders are refused, open ones are finished.
type StopMsg struct{}

// TickMsg lets the time pass.
type TickMsg struct{}

func (SubmitMsg) orderMsg()  {}
func (ClaimMsg) orderMsg()   {}
func (ClaimedMsg) orderMsg() {}
func (StoreMsg) orderMsg()   {}
func (ReplyMsg) orderMsg()   {}
func (OwnersMsg) orderMsg()  {}
func (StopMsg) orderMsg()    {}
func (TickMsg) orderMsg()    {}

// SendCmd starts one attempt under a claim.
type SendCmd struct {
	Request attempt.Request
	Token   Token
}

// StoreCmd asks for one call of the store.
type StoreCmd struct{ Request store.Request }

// PeerCmd sends Msg, a ClaimMsg or ClaimedMsg, to another VM.
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
