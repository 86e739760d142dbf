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

// FleetMessage carries a membership payload.
type FleetMessage struct{ Payload []byte }

// ClaimRequest asks the owner of a partition for a change of one claim.
type ClaimRequest struct{ Msg order.ClaimRequestMsg }

// ClaimResponse answers a Claim.
type ClaimResponse struct{ Msg order.ClaimResponseMsg }

// PeerBody marks messages between VMs.
func (Forward) PeerBody() {}

// PeerBody marks messages between VMs.
func (Result) PeerBody() {}

// PeerBody marks messages between VMs.
func (CancelForward) PeerBody() {}

// PeerBody marks messages between VMs.
func (FleetMessage) PeerBody() {}

// PeerBody marks messages between VMs.
func (ClaimRequest) PeerBody() {}

// PeerBody marks messages between VMs.
func (ClaimResponse) PeerBody() {}

// PeerMsg is a message from another VM.
type PeerMsg struct {
	From  string
	Stamp clock.Timestamp
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
	Stamp   clock.Timestamp
	Body    PeerBody
}

// AdminKind says what an Ask wants to know.
type AdminKind uint8

// AdminStatus asks for the Status, AdminEvents for events of the time line.
const (
	AdminStatus AdminKind = iota
	AdminEvents
)

// AdminRequest is an operator's question that one VM passes to another. Runtimes answer
// it from the accessors of their Core; the Core itself ignores it.
type AdminRequest struct {
	ID      uint64
	Kind    AdminKind
	Payload []byte // JSON of a timeline.Filter for AdminEvents
}

// AdminResponse answers an Ask with a JSON document.
type AdminResponse struct {
	ID      uint64
	Payload []byte
}

// PeerBody marks messages between VMs.
func (AdminRequest) PeerBody() {}

// PeerBody marks messages between VMs.
func (AdminResponse) PeerBody() {}
