package quota

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Model.
type Msg interface{ quotaMsg() }

// AcquireMsg asks for credit to run a request. Exactly one GrantedCmd or RefusedCmd follows,
// unless a CancelMsg comes first.
type AcquireMsg struct {
	Request uint64
	Limit   Limit
}

// ReturnMsg returns the credit of a request that did not run.
type ReturnMsg struct{ Customer string }

// CancelMsg reports that a request no longer waits for credit.
type CancelMsg struct{ Request uint64 }

// AskMsg delivers an Ask from another VM.
type AskMsg struct {
	From string
	Ask  Ask
}

// GrantMsg delivers a Grant from another VM.
type GrantMsg struct {
	From  string
	Grant Grant
}

// UnreachableMsg reports that the connection to a VM broke or that a message to it was not
// sent.
type UnreachableMsg struct{ VM string }

// VM is one VM of the fleet.
type VM struct {
	ID         string
	DataCentre string
	CPUMilli   int // processor share in thousandths of a core
}

// FleetMsg lists the VMs. The first one comes after the claims that the store holds.
type FleetMsg struct{ VMs []VM }

// Claim is the value of a group's key in the store. It lasts as long as the lease.
type Claim struct {
	VM    string        `json:"vm"`
	Lease store.LeaseID `json:"lease"`
	Era   uint64        `json:"era,omitempty"` // of the store when it was written
}

// ClaimMsg reports the claim of a group as the store holds it, at a revision. The zero
// Claim means that there is none.
type ClaimMsg struct {
	Group    int
	Claim    Claim
	Revision uint64
}

// EraMsg reports the era of the store, which rises when it comes back from an older copy. It
// comes before the ClaimMsgs of that era.
type EraMsg struct{ Era uint64 }

// LeasedMsg is the result of LeaseCmd. TTL is the time to live that counts, 0 if it is not known.
type LeasedMsg struct {
	Lease store.LeaseID
	TTL   clock.Millis
}

// ClaimedMsg reports that ClaimCmd succeeded.
type ClaimedMsg struct{}

// RenewedMsg reports that RenewCmd or ReleaseCmd succeeded. TTL is the time to live that counts
// from a renewal on, 0 if it is the one before.
type RenewedMsg struct{ TTL clock.Millis }

// FailedMsg reports that the last call of the store failed.
type FailedMsg struct{ Kind store.Kind }

// LimitedMsg reports whether the configuration has customers with a limit. Without one the
// Model does nothing. The first one comes after the claims that the store holds.
type LimitedMsg struct{ Limited bool }

// ResumedMsg reports that the process did not run for a while, so that times which were
// measured on the steady clock are too short.
type ResumedMsg struct{}

// StopMsg reports that the VM stops.
type StopMsg struct{}

// TickMsg reports that the time of NextWake has come.
type TickMsg struct{}

func (AcquireMsg) quotaMsg()     {}
func (ReturnMsg) quotaMsg()      {}
func (CancelMsg) quotaMsg()      {}
func (AskMsg) quotaMsg()         {}
func (GrantMsg) quotaMsg()       {}
func (UnreachableMsg) quotaMsg() {}
func (FleetMsg) quotaMsg()       {}
func (ClaimMsg) quotaMsg()       {}
func (EraMsg) quotaMsg()         {}
func (LeasedMsg) quotaMsg()      {}
func (ClaimedMsg) quotaMsg()     {}
func (RenewedMsg) quotaMsg()     {}
func (FailedMsg) quotaMsg()      {}
func (LimitedMsg) quotaMsg()     {}
func (ResumedMsg) quotaMsg()     {}
func (StopMsg) quotaMsg()        {}
func (TickMsg) quotaMsg()        {}

// Cmd is an output of a Model.
type Cmd interface{ quotaCmd() }

// GrantedCmd lets a request run.
type GrantedCmd struct{ Request uint64 }

// RefusedCmd refuses a request. OverLimit means that the customer's credit is used up;
// otherwise no VM that may grant some was reached.
type RefusedCmd struct {
	Request      uint64
	OverLimit    bool
	RetryAfterMs clock.Millis
}

// AskCmd sends an Ask to another VM.
type AskCmd struct {
	To  string
	Ask Ask
}

// GrantCmd sends a Grant to another VM.
type GrantCmd struct {
	To    string
	Grant Grant
}

// LeaseCmd creates a lease in the store. Of this and the next three commands at most one is
// without a result at any time.
type LeaseCmd struct{ TTL clock.Millis }

// ClaimCmd writes a claim under its lease if the group's key has the revision; 0 means that
// the key must not exist.
type ClaimCmd struct {
	Group    int
	Claim    Claim
	Revision uint64
}

// RenewCmd renews a lease.
type RenewCmd struct{ Lease store.LeaseID }

// ReleaseCmd ends a lease, so that the store removes the claims.
type ReleaseCmd struct{ Lease store.LeaseID }

// EventCmd logs a decision.
type EventCmd struct{ Event Event }

// Event is a change in who grants credit, or in where it comes from.
type Event struct {
	Kind   string
	Group  int
	Detail string
}

func (GrantedCmd) quotaCmd() {}
func (RefusedCmd) quotaCmd() {}
func (AskCmd) quotaCmd()     {}
func (GrantCmd) quotaCmd()   {}
func (LeaseCmd) quotaCmd()   {}
func (ClaimCmd) quotaCmd()   {}
func (RenewCmd) quotaCmd()   {}
func (ReleaseCmd) quotaCmd() {}
func (EventCmd) quotaCmd()   {}
