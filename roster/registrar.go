package roster

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// LeaseTTL is how long the entry of a VM that is lost stays in the list. VMs
	// notice the loss of a peer by their connections, much sooner.
	LeaseTTL = 15 * clock.Second

	// keepMs is how often the lease is renewed. A renewal is the cheapest call, so
	// it also shows whether the store still answers this VM: a watch that waits
	// cannot tell silence from calm.
	keepMs = 2 * clock.Second

	// fedKeepMs is the same of a VM that another one tells of changes: the lease
	// then lasts for two more tries.
	fedKeepMs = 5 * clock.Second

	// Backoff of calls that fail.
	firstRetryMs clock.Millis = 300
	maxRetryMs   clock.Millis = 2000
)

// RegistrarMsg is an input of a Registrar.
type RegistrarMsg interface{ registrarMsg() }

// ReadyMsg says that the VM can do work.
type ReadyMsg struct{}

// GrantedMsg brings a new lease.
type GrantedMsg struct{ Lease store.LeaseID }

// WrittenMsg confirms the entry.
type WrittenMsg struct{}

// RenewedMsg confirms a renewal.
type RenewedMsg struct{}

// FailedMsg reports that the last call failed.
type FailedMsg struct{ Kind store.Kind }

// SubscriptionMsg says whether another VM tells this one of changes of the store.
type SubscriptionMsg struct{ Subscribed bool }

// LeaveMsg ends the registration.
type LeaveMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

func (ReadyMsg) registrarMsg()        {}
func (GrantedMsg) registrarMsg()      {}
func (WrittenMsg) registrarMsg()      {}
func (RenewedMsg) registrarMsg()      {}
func (FailedMsg) registrarMsg()       {}
func (SubscriptionMsg) registrarMsg() {}
func (LeaveMsg) registrarMsg()        {}
func (TickMsg) registrarMsg()         {}

// RegistrarCmd is an output of a Registrar.
type RegistrarCmd interface{ registrarCmd() }

// GrantCmd creates a lease.
type GrantCmd struct{ TTL clock.Millis }

// WriteCmd writes the VM's entry under a lease.
type WriteCmd struct{ Lease store.LeaseID }

// RenewCmd renews a lease.
type RenewCmd struct{ Lease store.LeaseID }

// RevokeCmd ends a lease, which removes the entry.
type RevokeCmd struct{ Lease store.LeaseID }

func (GrantCmd) registrarCmd()  {}
func (WriteCmd) registrarCmd()  {}
func (RenewCmd) registrarCmd()  {}
func (RevokeCmd) registrarCmd() {}

// Registrar keeps the entry of one VM in the list. It is a pure state machine
// with at most one call open.
type Registrar struct {
	rng     *rand.Rand
	ready   bool
	leaving bool
	calling bool
	lease   store.LeaseID
	written bool
	fed     bool
	next    clock.Millis
	backoff clock.Millis
}

// NewRegistrar returns a Registrar without an entry. The seed spreads the calls
// of VMs that start together.
func NewRegistrar(seed uint64) *Registrar {
	return &Registrar{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Update applies msg at now and returns the calls that follow from it.
func (r *Registrar) Update(now clock.Millis, msg RegistrarMsg) []RegistrarCmd {
	switch m := msg.(type) {
	case ReadyMsg:
		r.ready = true
	case GrantedMsg:
		r.succeeded(now)
		r.lease, r.written = m.Lease, false
	case WrittenMsg:
		r.succeeded(now + r.keepEvery())
		r.written = true
	case RenewedMsg:
		r.succeeded(now + r.keepEvery())
	case FailedMsg:
		r.failed(now, m.Kind)
	case SubscriptionMsg:
		r.fed = m.Subscribed
		r.next = min(r.next, now+r.keepEvery())
	case LeaveMsg:
		r.leaving = true
	case TickMsg:
	}
	return r.call(now)
}

func (r *Registrar) succeeded(next clock.Millis) {
	r.calling, r.next, r.backoff = false, next, 0
}

func (r *Registrar) keepEvery() clock.Millis {
	if r.fed {
		return fedKeepMs
	}
	return keepMs
}

func (r *Registrar) failed(now clock.Millis, kind store.Kind) {
	r.calling = false
	if kind == store.KindConflict {
		r.lease, r.written = 0, false
	}
	r.backoff = min(max(2*r.backoff, firstRetryMs), maxRetryMs)
	r.next = now + r.backoff/2 + clock.Millis(r.rng.Int64N(int64(r.backoff/2)+1))
}

func (r *Registrar) call(now clock.Millis) []RegistrarCmd {
	switch {
	case r.calling:
		return nil
	case r.leaving && r.lease != 0:
		lease := r.lease
		r.lease, r.calling = 0, true
		return []RegistrarCmd{RevokeCmd{Lease: lease}}
	case r.leaving, !r.ready, now < r.next:
		return nil
	}
	r.calling = true
	switch {
	case r.lease == 0:
		return []RegistrarCmd{GrantCmd{TTL: LeaseTTL}}
	case !r.written:
		return []RegistrarCmd{WriteCmd{Lease: r.lease}}
	default:
		return []RegistrarCmd{RenewCmd{Lease: r.lease}}
	}
}

// NextWake returns when the registrar wants a TickMsg.
func (r *Registrar) NextWake() (clock.Millis, bool) {
	if r.calling || !r.ready || r.leaving {
		return 0, false
	}
	return r.next, true
}
