package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// PeerBody is the content of a message between VMs.
type PeerBody interface{ PeerBody() }

// Forward requests that the receiver, a carrier of the upstream, run an attempt.
type Forward struct{ Request attempt.Request }

// Result returns the reply of a forwarded attempt.
type Result struct{ Reply attempt.Reply }

// CancelForward cancels a forwarded attempt.
type CancelForward struct {
	ID       attempt.ID
	Upstream string
}

// FleetMessage contains a membership payload of package fleet.
type FleetMessage struct{ Payload []byte }

// ClaimRequest requests a change of one claim from the owner of its partition.
type ClaimRequest struct{ Msg order.ClaimRequestMsg }

// ClaimResponse is the response to a ClaimRequest.
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
	From      string
	Timestamp clock.Timestamp
	Body      PeerBody
}

// PeerUnsentMsg reports that a message was provably never sent.
type PeerUnsentMsg struct {
	To   string
	Body PeerBody
}

// PeerDisconnectedMsg reports that the connection to a VM broke. Messages that were
// sent before may or may not have arrived.
type PeerDisconnectedMsg struct{ VM string }

// SendPeerCmd sends a message to another VM. Address is empty if the VM is not a member.
// An open stream from it still takes the message.
type SendPeerCmd struct {
	To        string
	Address   string
	Timestamp clock.Timestamp
	Body      PeerBody
}

// AdminKind selects what an AdminRequest returns.
type AdminKind uint8

// AdminStatus returns the Status, AdminEvents the events in the event ring.
const (
	AdminStatus AdminKind = iota
	AdminEvents
)

// AdminRequest is an operator's request that one VM sends to another. The
// runtime answers it from the accessors of its Core; the Core ignores it.
type AdminRequest struct {
	ID      uint64
	Kind    AdminKind
	Payload []byte // JSON of a timeline.Filter for AdminEvents
}

// AdminResponse is the response to an AdminRequest, a JSON document.
type AdminResponse struct {
	ID      uint64
	Payload []byte
}

// PeerBody marks messages between VMs.
func (AdminRequest) PeerBody() {}

// PeerBody marks messages between VMs.
func (AdminResponse) PeerBody() {}
