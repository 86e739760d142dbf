package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// Cmd is an output of a Model.
type Cmd interface{ relayCmd() }

// SendCmd sends a request to an upstream. Exactly one ReplyMsg or AttemptFailedMsg
// must follow, unless a CancelCmd came first.
type SendCmd struct {
	Attempt       uint64
	Request       uint64
	Upstream      string
	Address       string
	RemainingMs   clock.Millis // timeout of the upstream's work
	Gather        bool         // only the receipt and the body of the reply are used
	NonIdempotent bool         // must not run twice: prefer a connection that is known to be open
	Customer      string       // to name to the upstream; empty if none
}

// CancelCmd cancels an attempt. No message about it needs to follow.
type CancelCmd struct{ Attempt uint64 }

// AnswerCmd sends the final answer to the caller, or to the VM that delegated the
// request. Each request gets exactly one, unless its caller disconnects.
type AnswerCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // estimated latency on this VM, for the VM that delegated the request
	Throttled  []Throttled  // for that VM too
}

// DelegateCmd delegates sub-requests of a request to a carrier.
type DelegateCmd struct {
	Request    uint64
	To         string
	Address    string
	Delegation Delegation
}

// PartialResultCmd sends the replies gathered up to the target time to the VM that
// delegated the request. An AnswerCmd follows.
type PartialResultCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // estimated latency on this VM, for the VM that delegated the request
	Throttled  []Throttled  // for that VM too
}

// AckDelegationCmd acknowledges a Delegation of another VM.
type AckDelegationCmd struct{ ID uint64 }

// CancelDelegationCmd cancels a Delegation at a carrier.
type CancelDelegationCmd struct {
	To string
	ID uint64
}

// CreditCmd asks for credit to run a request of a customer with a limit. One CreditMsg must
// follow, unless a CancelCreditCmd comes first.
type CreditCmd struct {
	Request uint64
	Limit   quota.Limit
}

// CancelCreditCmd reports that a request no longer waits for credit.
type CancelCreditCmd struct{ Request uint64 }

// ReturnCreditCmd returns the credit of a request that did not run.
type ReturnCreditCmd struct{ Customer string }

// ConnectPeerCmd opens a stream to another VM before it is needed.
type ConnectPeerCmd struct{ VM, Address string }

// ConnectUpstreamCmd opens a connection to an upstream before it is needed.
type ConnectUpstreamCmd struct{ Upstream, Address string }

// CloseIdleCmd closes the idle connections to a removed upstream.
type CloseIdleCmd struct{ Upstream string }

// EventCmd logs a decision.
type EventCmd struct{ Event Event }

func (SendCmd) relayCmd()             {}
func (CancelCmd) relayCmd()           {}
func (AnswerCmd) relayCmd()           {}
func (DelegateCmd) relayCmd()         {}
func (PartialResultCmd) relayCmd()    {}
func (AckDelegationCmd) relayCmd()    {}
func (CancelDelegationCmd) relayCmd() {}
func (CreditCmd) relayCmd()           {}
func (CancelCreditCmd) relayCmd()     {}
func (ReturnCreditCmd) relayCmd()     {}
func (ConnectPeerCmd) relayCmd()      {}
func (ConnectUpstreamCmd) relayCmd()  {}
func (CloseIdleCmd) relayCmd()        {}
func (EventCmd) relayCmd()            {}

// Event is one decision with the inputs that led to it.
type Event struct {
	Kind     string
	Request  string
	Route    string
	Upstream string
	Customer string // empty if none
	Version  uint64
	Detail   string
	Cause    string       // why a part is missing; empty for other kinds
	AgeMs    clock.Millis // of the request or of the state that the decision used
}
