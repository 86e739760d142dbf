package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// Msg is an input of a Model.
type Msg interface{ relayMsg() }

// TableMsg puts a version of the configuration in force. An older version
// than the one in force is ignored.
type TableMsg struct{ Table *route.Table }

// UpstreamMsg reports what an upstream says of itself.
type UpstreamMsg struct{ Upstream Upstream }

// UpstreamRemovedMsg reports that an upstream is gone.
type UpstreamRemovedMsg struct{ ID string }

// ArrivalMsg brings a request that was read whole. ID is unique on this VM.
type ArrivalMsg struct {
	ID          uint64
	Name        string // the caller's identifier, for events
	Host        string
	Path        string       // with its query string
	RemainingMs clock.Millis // how long the caller waits; 0 if it does not say

	// RoundTripMs is how long the network takes for the request and its answer, and for
	// opening the connection if that was done for this request; 0 if not known.
	RoundTripMs clock.Millis

	// Delegation is set for a request of another VM.
	Delegation *Delegation
}

// ReplyMsg brings the whole reply to an attempt.
type ReplyMsg struct {
	Attempt uint64
	Reply   Reply
}

// AttemptFailedMsg reports that an attempt ended without a whole reply.
type AttemptFailedMsg struct {
	Attempt uint64
	NotSent bool   // no byte of the request left, so it did not run
	Cause   string // for events
}

// CallerDisconnectedMsg reports that the caller has left.
type CallerDisconnectedMsg struct{ ID uint64 }

// FleetMsg lists the VMs that share the upstreams, this one included.
type FleetMsg struct{ VMs []VM }

// DelegationAckMsg brings a carrier's confirmation.
type DelegationAckMsg struct {
	From string
	ID   uint64
}

// DelegationResultMsg brings a carrier's answer.
type DelegationResultMsg struct {
	From   string
	Result DelegationResult
}

// DelegationNotSentMsg reports that a Delegation certainly never left this VM.
type DelegationNotSentMsg struct {
	To string
	ID uint64
}

// PeerDisconnectedMsg reports that the connection to a VM broke.
type PeerDisconnectedMsg struct{ VM string }

// BudgetMsg bounds the attempts beyond the first one of each service over all
// VMs: Ratio of its requests, plus Extra, in any window.
type BudgetMsg struct {
	Ratio    float64
	Extra    float64
	WindowMs clock.Millis
}

// StopMsg makes every request end by a time, because the VM stops then.
type StopMsg struct{ Deadline clock.Millis }

// TickMsg lets time pass.
type TickMsg struct{}

func (TableMsg) relayMsg()              {}
func (UpstreamMsg) relayMsg()           {}
func (UpstreamRemovedMsg) relayMsg()    {}
func (ArrivalMsg) relayMsg()            {}
func (ReplyMsg) relayMsg()              {}
func (AttemptFailedMsg) relayMsg()      {}
func (CallerDisconnectedMsg) relayMsg() {}
func (FleetMsg) relayMsg()              {}
func (DelegationAckMsg) relayMsg()      {}
func (DelegationResultMsg) relayMsg()   {}
func (DelegationNotSentMsg) relayMsg()  {}
func (PeerDisconnectedMsg) relayMsg()   {}
func (BudgetMsg) relayMsg()             {}
func (StopMsg) relayMsg()               {}
func (TickMsg) relayMsg()               {}
