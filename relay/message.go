package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// Msg is an input of a Model.
type Msg interface{ relayMsg() }

// TableMsg activates a version of the configuration. A version older than the active
// one is ignored.
type TableMsg struct{ Table *route.Table }

// UpstreamMsg carries the state that an upstream reports about itself. Era and Revision are
// those of its entry in the store. Returned is set if there was no entry before the store
// came back from an older copy, and this one may be that of the copy.
type UpstreamMsg struct {
	Upstream Upstream
	Era      uint64
	Revision uint64
	Returned bool
}

// UpstreamRemovedMsg reports that an upstream was removed, as the store shows in an era.
type UpstreamRemovedMsg struct {
	ID  string
	Era uint64
}

// ArrivalMsg reports a request that was read completely. ID is unique on this VM.
type ArrivalMsg struct {
	ID          uint64
	Name        string // the caller's request identifier, for events
	Host        string
	Path        string // with its query string
	Method      string // GET if empty
	BodyBytes   int
	RemainingMs clock.Millis // caller's timeout; 0 if not stated
	Key         string       // that the caller sent; empty if none

	// RoundTripMs is the network time of the request and its answer, plus that of
	// opening the connection if it was opened for this request; 0 if not known.
	RoundTripMs clock.Millis

	// AnswerLagMs is how long the VM takes to write an answer once it is decided.
	AnswerLagMs clock.Millis

	// WaitedMs is how long the request has waited on this VM since it was read.
	WaitedMs clock.Millis

	// Delegation is set for a request that another VM delegated. Of the
	// other fields only ID, Name and WaitedMs are used then.
	Delegation *Delegation
}

// ReplyMsg reports the complete reply to an attempt.
type ReplyMsg struct {
	Attempt uint64
	Reply   Reply
}

// AttemptFailedMsg reports that an attempt ended without a complete reply.
type AttemptFailedMsg struct {
	Attempt uint64
	NotSent bool   // no byte of the request was sent, so it did not run
	Cause   string // for events
}

// CallerDisconnectedMsg reports that the caller has disconnected.
type CallerDisconnectedMsg struct{ ID uint64 }

// CreditMsg decides about a request that waits for credit.
type CreditMsg struct {
	Request      uint64
	Granted      bool
	OverLimit    bool         // the customer's credit is used up
	RetryAfterMs clock.Millis // of a request that is refused
}

// FleetMsg lists the VMs that share the upstreams, including this one.
type FleetMsg struct{ VMs []VM }

// DelegationAckMsg reports a carrier's acknowledgement.
type DelegationAckMsg struct {
	From string
	ID   uint64
}

// DelegationResultMsg reports a carrier's result.
type DelegationResultMsg struct {
	From   string
	Result DelegationResult
}

// DelegationNotSentMsg reports that a Delegation definitely did not leave this VM.
type DelegationNotSentMsg struct {
	To string
	ID uint64
}

// PeerDisconnectedMsg reports that the connection to a VM broke.
type PeerDisconnectedMsg struct{ VM string }

// BudgetMsg limits the extra attempts of each service, summed over all VMs, in any
// window: Ratio of its requests, plus Extra.
type BudgetMsg struct {
	Ratio    float64
	Extra    float64
	WindowMs clock.Millis
}

// StopMsg reports that the VM stops, and sets a deadline for all requests. New callers come
// until CallersUntil, when the load balancer has noticed. Later requests come on
// connections that are still open.
type StopMsg struct {
	Deadline     clock.Millis
	CallersUntil clock.Millis
}

// TickMsg reports that time has passed.
type TickMsg struct{}

func (TableMsg) relayMsg()              {}
func (UpstreamMsg) relayMsg()           {}
func (UpstreamRemovedMsg) relayMsg()    {}
func (ArrivalMsg) relayMsg()            {}
func (ReplyMsg) relayMsg()              {}
func (AttemptFailedMsg) relayMsg()      {}
func (CallerDisconnectedMsg) relayMsg() {}
func (CreditMsg) relayMsg()             {}
func (FleetMsg) relayMsg()              {}
func (DelegationAckMsg) relayMsg()      {}
func (DelegationResultMsg) relayMsg()   {}
func (DelegationNotSentMsg) relayMsg()  {}
func (PeerDisconnectedMsg) relayMsg()   {}
func (BudgetMsg) relayMsg()             {}
func (StopMsg) relayMsg()               {}
func (TickMsg) relayMsg()               {}
