package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// PeerBody is the content of a message between VMs.
type PeerBody interface{ PeerBody() }

// Forward asks the receiver, a carrier of the upstream, to run an attempt.
type Forward struct{ Request attempt.Request }

// Result returns the reply of a forwarded attempt.
type Result struct{ Reply attempt.Reply }

// CancelForward withdraws a forwarded attempt.
type CancelForward struct {
	ID       attempt.ID
	Upstream string
}

// Fleet carries a membership payload.
type Fleet struct{ Payload []byte }

// Claim asks the owner of a partition for a change of one claim.
type Claim struct{ Msg order.ClaimMsg }

// Claimed answers a Claim.
type Claimed struct{ Msg order.ClaimedMsg }

// PeerBody marks messages between VMs.
func (Forward) PeerBody() {}

// PeerBody marks messages between VMs.
func (Result) PeerBody() {}

// PeerBody marks messages between VMs.
func (CancelForward) PeerBody() {}

// PeerBody marks messages between VMs.
func (Fleet) PeerBody() {}

// PeerBody marks messages between VMs.
func (Claim) PeerBody() {}

// PeerBody marks messages between VMs.
func (Claimed) PeerBody() {}

// PeerMsg is a message from another VM.
type PeerMsg struct {
	From  string
	Stamp clock.Stamp
	Body  PeerBody
}

// PeerUnsentMsg reports that a message certainly never left this VM.
type PeerUnsentMsg struct {
	To   string
	Body PeerBody
}

// PeerDownMsg reports that the connection to a VM broke. Messages that were
// sent before may or may not have arrived.
type PeerDownMsg struct{ VM string }

// SendPeerCmd sends a message to another VM.
type SendPeerCmd struct {
	To      string
	Address string
	Stamp   clock.Stamp
	Body    PeerBody
}

// AskKind says what an Ask wants to know.
type AskKind uint8

// AskStatus asks for the Status, AskEvents for events of the time line.
const (
	AskStatus AskKind = iota
	AskEvents
)

// Ask is an operator's question that one VM passes to another. Runtimes answer
// it from the accessors of their Core; the Core itself ignores it.
type Ask struct {
	ID      uint64
	Kind    AskKind
	Payload []byte // JSON of a timeline.Filter for AskEvents
}

// Told answers an Ask with a JSON document.
type Told struct {
	ID      uint64
	Payload []byte
}

// PeerBody marks messages between VMs.
func (Ask) PeerBody() {}

// PeerBody marks messages between VMs.
func (Told) PeerBody() {}
