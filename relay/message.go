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

// RemovedMsg reports that an upstream is gone.
type RemovedMsg struct{ ID string }

// ArriveMsg brings a request that was read whole. ID is unique on this VM.
type ArriveMsg struct {
	ID     uint64
	Name   string // the caller's identifier, for events
	Host   string
	Path   string       // with its query string
	LeftMs clock.Millis // how long the caller waits; 0 if it does not say

	// WayMs is how long the network takes for the request and its answer, and for
	// opening the connection if that was done for this request; 0 if not known.
	WayMs clock.Millis

	// Handed is set for a request of another VM.
	Handed *HandOver
}

// ReplyMsg brings the whole reply to an attempt.
type ReplyMsg struct {
	Attempt uint64
	Reply   Reply
}

// FailMsg reports that an attempt ended without a whole reply.
type FailMsg struct {
	Attempt uint64
	NotSent bool   // no byte of the request left, so it did not run
	Cause   string // for events
}

// GoneMsg reports that the caller has left.
type GoneMsg struct{ ID uint64 }

// FleetMsg lists the VMs that share the upstreams, this one included.
type FleetMsg struct{ VMs []VM }

// TakenMsg brings a carrier's confirmation.
type TakenMsg struct {
	From string
	ID   uint64
}

// HandBackMsg brings a carrier's answer.
type HandBackMsg struct {
	From     string
	HandBack HandBack
}

// UnhandedMsg reports that a HandOver certainly never left this VM.
type UnhandedMsg struct {
	To string
	ID uint64
}

// PeerDownMsg reports that the connection to a VM broke.
type PeerDownMsg struct{ VM string }

// BudgetMsg bounds the attempts beyond the first one of each service over all
// VMs: Ratio of its requests, plus Extra, in any window.
type BudgetMsg struct {
	Ratio    float64
	Extra    float64
	WindowMs clock.Millis
}

// StopMsg makes every request end by a time, because the VM stops then.
type StopMsg struct{ Due clock.Millis }

// TickMsg lets time pass.
type TickMsg struct{}

func (TableMsg) relayMsg()    {}
func (UpstreamMsg) relayMsg() {}
func (RemovedMsg) relayMsg()  {}
func (ArriveMsg) relayMsg()   {}
func (ReplyMsg) relayMsg()    {}
func (FailMsg) relayMsg()     {}
func (GoneMsg) relayMsg()     {}
func (FleetMsg) relayMsg()    {}
func (TakenMsg) relayMsg()    {}
func (HandBackMsg) relayMsg() {}
func (UnhandedMsg) relayMsg() {}
func (PeerDownMsg) relayMsg() {}
func (BudgetMsg) relayMsg()   {}
func (StopMsg) relayMsg()     {}
func (TickMsg) relayMsg()     {}
