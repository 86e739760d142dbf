package roster

import (
	"cmp"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// LeaseTTL is the time after which the entry of a failed VM disappears from
	// the list. The other VMs detect the failure much sooner, by their connections.
	LeaseTTL = 15 * clock.Second

	// renewIntervalMs is the time between renewals of the lease. Renewals also
	// detect an unreachable store, as they are its cheapest call: a pending watch
	// does not show whether the store is unreachable or has no changes.
	renewIntervalMs = 2 * clock.Second

	// subscribedRenewIntervalMs is the time between renewals on a VM that gets the
	// store's changes from a publisher. After a failed renewal, the lease lasts
	// for two more tries.
	subscribedRenewIntervalMs = 5 * clock.Second

	// renewalsInTTL is how often a lease is renewed at least within its time to live, but not
	// more often than every minRenewIntervalMs.
	renewalsInTTL                   = 3
	minRenewIntervalMs clock.Millis = 300

	// Bounds of the backoff after failed calls. ResumedMsg ends it when the store is
	// reached again.
	minBackoffMs clock.Millis = 300
	maxBackoffMs clock.Millis = 4000

	// maxReturnMs spreads the calls of VMs that reach the store again together.
	maxReturnMs clock.Millis = 500

	// repairDelayMs is the least time between the news that the entry is not intact and its
	// next write. VMs whose entries are lost together spread over as much more.
	repairDelayMs clock.Millis = 500

	// returnMsPerVM spreads the calls of all VMs after the store came back from an older
	// copy, which has none of their leases: two writes of each, at less than half of the
	// 1,200 writes a second that the users' store takes.
	returnMsPerVM clock.Millis = 4
)

// RegistrarMsg is an input of a Registrar.
type RegistrarMsg interface{ registrarMsg() }

// ReadyMsg reports that the VM is ready for work, which starts the registration.
type ReadyMsg struct{}

// GrantedMsg is the result of GrantCmd. TTL is the time to live that counts, 0 if it is not known.
type GrantedMsg struct {
	Lease store.LeaseID
	TTL   clock.Millis
}

// WrittenMsg reports that WriteCmd succeeded.
type WrittenMsg struct{}

// RenewedMsg reports that RenewCmd or RevokeCmd succeeded. TTL is the time to live that counts
// from a renewal on, 0 if it is the one before.
type RenewedMsg struct{ TTL clock.Millis }

// FailedMsg reports that the call of the last RegistrarCmd failed.
type FailedMsg struct{ Kind store.Kind }

// SubscriptionMsg reports whether this VM gets the store's changes from another
// VM, the publisher.
type SubscriptionMsg struct{ Subscribed bool }

// ResumedMsg reports that the process did not run for a while, or that the store is
// reached again, so that the lease may have ended.
type ResumedMsg struct{}

// StoreReturnedMsg reports that the store came back from an older copy, so that the lease
// has ended and the entry is lost. VMs is the number of VMs that write theirs again.
type StoreReturnedMsg struct{ VMs int }

// EntryMsg reports whether the store has this VM's entry as it was written. A write of an
// earlier process that the store carries out late can replace it, or bind it to a lease that
// ends.
type EntryMsg struct{ Intact bool }

// LeaveMsg ends the registration.
type LeaveMsg struct{}

// TickMsg makes the Registrar start the call that is due, if any.
type TickMsg struct{}

func (ReadyMsg) registrarMsg()         {}
func (GrantedMsg) registrarMsg()       {}
func (WrittenMsg) registrarMsg()       {}
func (RenewedMsg) registrarMsg()       {}
func (FailedMsg) registrarMsg()        {}
func (SubscriptionMsg) registrarMsg()  {}
func (ResumedMsg) registrarMsg()       {}
func (StoreReturnedMsg) registrarMsg() {}
func (EntryMsg) registrarMsg()         {}
func (LeaveMsg) registrarMsg()         {}
func (TickMsg) registrarMsg()          {}

// RegistrarCmd is an output of a Registrar.
type RegistrarCmd interface{ registrarCmd() }

// GrantCmd creates a lease.
type GrantCmd struct{ TTL clock.Millis }

// WriteCmd writes the VM's entry under a lease.
type WriteCmd struct{ Lease store.LeaseID }

// RenewCmd renews a lease.
type RenewCmd struct{ Lease store.LeaseID }

// RevokeCmd ends a lease, so that the store removes the entry.
type RevokeCmd struct{ Lease store.LeaseID }

func (GrantCmd) registrarCmd()  {}
func (WriteCmd) registrarCmd()  {}
func (RenewCmd) registrarCmd()  {}
func (RevokeCmd) registrarCmd() {}

// Registrar keeps the entry of one VM in the VM list, under a lease of the
// store. It is a state machine without I/O and with at most one call in flight.
type Registrar struct {
	rng          *rand.Rand
	ready        bool
	leaving      bool
	callInFlight bool
	callVoid     bool // the store came back from an older copy after the call began
	leaseID      store.LeaseID
	ttl          clock.Millis // that the store applies to the lease; 0 before the first one
	entryWritten bool
	subscribed   bool
	nextCallAt   clock.Millis
	repairAt     clock.Millis // time of the next write of an entry that is not intact; 0 if it is
	returnAt     clock.Millis // no call is made before this time
	backoff      clock.Millis
}

// NewRegistrar returns a Registrar without an entry. The seed of the random
// numbers spreads the retries of VMs that start or fail together.
func NewRegistrar(seed uint64) *Registrar {
	return &Registrar{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Update applies msg at now and returns the call to make, if any.
func (r *Registrar) Update(now clock.Millis, msg RegistrarMsg) []RegistrarCmd {
	switch m := msg.(type) {
	case ReadyMsg:
		r.ready = true
	case GrantedMsg:
		if r.recordSuccess(now) {
			r.leaseID, r.entryWritten, r.ttl = m.Lease, false, cmp.Or(m.TTL, LeaseTTL)
		}
	case WrittenMsg:
		r.entryWritten = r.recordSuccess(now + r.renewInterval())
	case RenewedMsg:
		r.ttl = cmp.Or(m.TTL, r.ttl)
		r.recordSuccess(now + r.renewInterval())
	case FailedMsg:
		r.recordFailure(now, m.Kind)
	case SubscriptionMsg:
		r.subscribed = m.Subscribed
		r.nextCallAt = min(r.nextCallAt, now+r.renewInterval())
	case ResumedMsg:
		r.nextCallAt = min(r.nextCallAt, now+clock.Millis(r.rng.Int64N(int64(maxReturnMs))))
	case StoreReturnedMsg:
		r.storeReturned(now, m.VMs)
	case EntryMsg:
		r.observeEntry(now, m.Intact)
	case LeaveMsg:
		r.leaving = true
	case TickMsg:
	}
	return r.startCall(now)
}

// recordSuccess records the success of a call, and reports false if its effect may be lost.
func (r *Registrar) recordSuccess(nextCallAt clock.Millis) bool {
	void := r.callVoid
	r.callInFlight, r.callVoid, r.nextCallAt, r.backoff = false, false, nextCallAt, 0
	if void {
		r.nextCallAt = 0
	}
	return !void
}

// storeReturned makes the Registrar create a lease and write the entry again. The old lease
// is not renewed: its identifier may be given out again.
func (r *Registrar) storeReturned(now clock.Millis, vms int) {
	r.leaseID, r.entryWritten, r.callVoid, r.backoff = 0, false, r.callInFlight, 0
	r.nextCallAt, r.returnAt = now, now+clock.Millis(r.rng.Int64N(int64(ReturnSpread(vms))))
}

// ReturnSpread returns the time over which the VMs of a fleet spread the writes of their
// entries after the store came back from an older copy.
func ReturnSpread(vms int) clock.Millis { return max(maxReturnMs, clock.Millis(vms)*returnMsPerVM) }

// observeEntry schedules another write of an entry that is not intact, unless the news is
// older than the last write and the next report shows that.
func (r *Registrar) observeEntry(now clock.Millis, intact bool) {
	switch {
	case intact:
		r.repairAt = 0
	case r.entryWritten && r.repairAt == 0:
		r.repairAt = now + repairDelayMs + clock.Millis(r.rng.Int64N(int64(repairDelayMs)))
	}
}

// renewInterval returns the time between renewals. A lease that the store applies for a
// shorter time than asked is renewed more often.
func (r *Registrar) renewInterval() clock.Millis {
	interval := renewIntervalMs
	if r.subscribed {
		interval = subscribedRenewIntervalMs
	}
	if r.ttl > 0 {
		interval = min(interval, max(r.ttl/renewalsInTTL, minRenewIntervalMs))
	}
	return interval
}

func (r *Registrar) recordFailure(now clock.Millis, kind store.Kind) {
	r.callInFlight, r.callVoid = false, false
	if kind == store.KindConflict {
		r.leaseID, r.entryWritten = 0, false
	}
	r.backoff = min(max(2*r.backoff, minBackoffMs), maxBackoffMs)
	r.nextCallAt = now + r.backoff/2 + clock.Millis(r.rng.Int64N(int64(r.backoff/2)+1))
}

func (r *Registrar) startCall(now clock.Millis) []RegistrarCmd {
	switch {
	case r.callInFlight:
		return nil
	case r.leaving && r.leaseID != 0:
		lease := r.leaseID
		r.leaseID, r.callInFlight = 0, true
		return []RegistrarCmd{RevokeCmd{Lease: lease}}
	case r.leaving, !r.ready, now < r.callAt():
		return nil
	}
	if r.repairAt > 0 && now >= r.repairAt {
		r.repairAt, r.entryWritten = 0, false
	}
	r.callInFlight = true
	switch {
	case r.leaseID == 0:
		return []RegistrarCmd{GrantCmd{TTL: LeaseTTL}}
	case !r.entryWritten:
		return []RegistrarCmd{WriteCmd{Lease: r.leaseID}}
	default:
		return []RegistrarCmd{RenewCmd{Lease: r.leaseID}}
	}
}

// NextWake returns the time at which the Registrar needs a TickMsg. It returns
// false if it needs none.
func (r *Registrar) NextWake() (clock.Millis, bool) {
	if r.callInFlight || !r.ready || r.leaving {
		return 0, false
	}
	return r.callAt(), true
}

// callAt returns the time of the next call.
func (r *Registrar) callAt() clock.Millis {
	at := r.nextCallAt
	if r.repairAt > 0 && r.backoff == 0 {
		at = min(at, r.repairAt)
	}
	return max(at, r.returnAt)
}
