package relay

import "lentillink.example/lentillink/clock"

// Cmd is an output of a Model.
type Cmd interface{ relayCmd() }

// SendCmd sends a request to an upstream. Exactly one ReplyMsg or AttemptFailedMsg must
// follow, unless a CancelCmd came first.
type SendCmd struct {
	Attempt       uint64
	Request       uint64
	Upstream      string
	Address       string
	RemainingMs   clock.Millis // how long the upstream may work
	Gather        bool         // only the receipt and the records of the reply are needed
	NonIdempotent bool         // the request must not repeat: prefer a connection that is surely open
}

// CancelCmd ends an attempt. No message about it is expected any more.
type CancelCmd struct{ Attempt uint64 }

// AnswerCmd answers a caller. Each request gets one, unless its caller has left.
type AnswerCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // for the VM that handed the request over
}

// DelegateCmd hands parts of a request over to a carrier.
type DelegateCmd struct {
	Request    uint64
	To         string
	Address    string
	Delegation Delegation
}

// PartialResultCmd hands back what a carrier has when the answer becomes late. An
// AnswerCmd follows.
type PartialResultCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // for the VM that handed the request over
}

// AckDelegationCmd confirms a request of another VM.
type AckDelegationCmd struct{ ID uint64 }

// CancelDelegationCmd tells a carrier that nobody waits for an answer.
type CancelDelegationCmd struct {
	To string
	ID uint64
}

// ConnectPeerCmd asks for a stream to a VM before it is needed.
type ConnectPeerCmd struct{ VM, Address string }

// ConnectUpstreamCmd asks for a warm connection to an upstream.
type ConnectUpstreamCmd struct{ Upstream, Address string }

// CloseIdleCmd closes the idle connections to an upstream that is gone.
type CloseIdleCmd struct{ Upstream string }

// EventCmd records a decision.
type EventCmd struct{ Event Event }

func (SendCmd) relayCmd()             {}
func (CancelCmd) relayCmd()           {}
func (AnswerCmd) relayCmd()           {}
func (DelegateCmd) relayCmd()         {}
func (PartialResultCmd) relayCmd()    {}
func (AckDelegationCmd) relayCmd()    {}
func (CancelDelegationCmd) relayCmd() {}
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
	Version  uint64
	Detail   string
	AgeMs    clock.Millis // of the request or the belief
}
