package relay

import "lentillink.example/lentillink/clock"

// Cmd is an output of a Model.
type Cmd interface{ relayCmd() }

// SendCmd sends a request to an upstream. Exactly one ReplyMsg or FailMsg must
// follow, unless a CancelCmd came first.
type SendCmd struct {
	Attempt  uint64
	Request  uint64
	Upstream string
	Address  string
	LeftMs   clock.Millis // how long the upstream may work
	Gather   bool         // only the receipt and the records of the reply are needed
	Fresh    bool         // the request must not repeat: prefer a connection that is surely open
}

// CancelCmd ends an attempt. No message about it is expected any more.
type CancelCmd struct{ Attempt uint64 }

// AnswerCmd answers a caller. Each request gets one, unless its caller has left.
type AnswerCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // for the VM that handed the request over
}

// HandCmd hands parts of a request over to a carrier.
type HandCmd struct {
	Request  uint64
	To       string
	Address  string
	HandOver HandOver
}

// ReportCmd hands back what a carrier has when the answer becomes late. An
// AnswerCmd follows.
type ReportCmd struct {
	ID         uint64
	Answer     Answer
	ExpectedMs clock.Millis // for the VM that handed the request over
}

// TakenCmd confirms a request of another VM.
type TakenCmd struct{ ID uint64 }

// WithdrawCmd tells a carrier that nobody waits for an answer.
type WithdrawCmd struct {
	To string
	ID uint64
}

// MeetCmd asks for a stream to a VM before it is needed.
type MeetCmd struct{ VM, Address string }

// ConnectCmd asks for a warm connection to an upstream.
type ConnectCmd struct{ Upstream, Address string }

// ForgetCmd closes the idle connections to an upstream that is gone.
type ForgetCmd struct{ Upstream string }

// EventCmd records a decision.
type EventCmd struct{ Event Event }

func (SendCmd) relayCmd()     {}
func (CancelCmd) relayCmd()   {}
func (AnswerCmd) relayCmd()   {}
func (HandCmd) relayCmd()     {}
func (ReportCmd) relayCmd()   {}
func (TakenCmd) relayCmd()    {}
func (WithdrawCmd) relayCmd() {}
func (MeetCmd) relayCmd()     {}
func (ConnectCmd) relayCmd()  {}
func (ForgetCmd) relayCmd()   {}
func (EventCmd) relayCmd()    {}

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
