package preset

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// firstRestoreMs is the delay of the first VM. The store's history of changes, which may
	// hold the record already, reaches the VMs within that time.
	firstRestoreMs clock.Millis = 500

	// restoreStepMs is the delay between one VM and the next, which then sees the record that
	// the one before has written.
	restoreStepMs clock.Millis = 500

	// VMs after the first ones share maxRestoreMs and a random part of restoreSpreadMs.
	maxRestoreMs    = 10 * clock.Second
	restoreSpreadMs = 10 * clock.Second

	// Bounds of the backoff after failed calls.
	minRestoreBackoffMs = clock.Second
	maxRestoreBackoffMs = 10 * clock.Second
)

// RestorerMsg is an input of a Restorer.
type RestorerMsg interface{ restorerMsg() }

// KnownMsg sets the newest committed record that this VM knows.
type KnownMsg struct{ Record Record }

// StoredMsg reports the revision of the record in the store, 0 if there is none, and the
// rank of this VM among those that may write it: 0 is the first.
type StoredMsg struct {
	Revision uint64
	Rank     int
}

// StoreReturnedMsg reports that the store came back from an older copy. The record in the
// store may then be the one that was last reported.
type StoreReturnedMsg struct{ Rank int }

// RestoreReplyMsg is the reply to a RestoreCallCmd.
type RestoreReplyMsg struct{ Reply store.Reply }

// RestoreTickMsg reports that the time returned by NextWake has passed.
type RestoreTickMsg struct{}

func (KnownMsg) restorerMsg()         {}
func (StoredMsg) restorerMsg()        {}
func (StoreReturnedMsg) restorerMsg() {}
func (RestoreReplyMsg) restorerMsg()  {}
func (RestoreTickMsg) restorerMsg()   {}

// RestorerCmd is an output of a Restorer.
type RestorerCmd interface{ restorerCmd() }

// RestoreCallCmd requests one store call.
type RestoreCallCmd struct{ Request store.Request }

// RestoredCmd reports that this VM has written its record again.
type RestoredCmd struct{ Record Record }

func (RestoreCallCmd) restorerCmd() {}
func (RestoredCmd) restorerCmd()    {}

// Restorer writes the newest record that a VM knows again if the store has lost it. The
// write is a compare-and-swap on the store's revision, and only replaces a record of a lower
// revision of its own, so several VMs may try and an operator's change is never lost to them.
type Restorer struct {
	rng     *rand.Rand
	known   Record
	writing Record       // by the outstanding swap
	stored  uint64       // revision of the record in the store, as last reported
	dueAt   clock.Millis // time of the next call; 0 if none is due
	calling bool
	tag     uint64
	backoff clock.Millis
}

// NewRestorer returns a Restorer. The seed spreads the calls of VMs that act together.
func NewRestorer(seed uint64) *Restorer {
	return &Restorer{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Update handles one message.
func (r *Restorer) Update(now clock.Millis, msg RestorerMsg) []RestorerCmd {
	switch m := msg.(type) {
	case KnownMsg:
		r.known = m.Record
	case StoredMsg:
		r.stored = m.Revision
		r.schedule(now, m.Rank)
	case StoreReturnedMsg:
		r.schedule(now, m.Rank)
	case RestoreReplyMsg:
		if r.calling && m.Reply.Tag == r.tag {
			r.calling = false
			return r.handleReply(now, m.Reply)
		}
	case RestoreTickMsg:
	}
	if r.dueAt == 0 || r.calling || now < r.dueAt {
		return nil
	}
	return r.call(store.Request{Op: store.OpGet})
}

// schedule sets the time of the first call, or ends the work if the store has the record.
func (r *Restorer) schedule(now clock.Millis, rank int) {
	switch {
	case r.stored >= r.known.Revision:
		r.dueAt, r.backoff = 0, 0
	case r.dueAt == 0:
		delay := firstRestoreMs + clock.Millis(rank)*restoreStepMs
		if delay > maxRestoreMs {
			delay = maxRestoreMs + clock.Millis(r.rng.Int64N(int64(restoreSpreadMs)))
		}
		r.dueAt = now + delay
	}
}

func (r *Restorer) call(req store.Request) []RestorerCmd {
	r.calling = true
	r.tag++
	req.Requester, req.Tag, req.Key = "preset", r.tag, StoreKey
	return []RestorerCmd{RestoreCallCmd{req}}
}

func (r *Restorer) handleReply(now clock.Millis, reply store.Reply) []RestorerCmd {
	if reply.Kind != store.KindOK {
		// After a conflict or a lost reply, reading the record shows what has happened.
		r.backoff = min(max(2*r.backoff, minRestoreBackoffMs), maxRestoreBackoffMs)
		r.dueAt = now + r.backoff/2 + clock.Millis(r.rng.Int64N(int64(r.backoff/2)+1))
		return nil
	}
	if reply.Op == store.OpSwap {
		r.stored, r.dueAt, r.backoff = r.writing.Revision, 0, 0
		return []RestorerCmd{RestoredCmd{Record: r.writing}}
	}
	stored, encoded, ok := r.compare(reply.Entry)
	if !ok {
		r.stored, r.dueAt, r.backoff = stored, 0, 0
		return nil
	}
	r.writing = r.known
	return r.call(store.Request{Op: store.OpSwap, Value: encoded, Revision: reply.Entry.Revision})
}

// compare returns the revision of the record in an entry, and the record to write in its
// place. It reports false if the entry is to stay: it is not older, or is no record at all,
// which only an operator can mend.
func (r *Restorer) compare(entry store.Entry) (stored uint64, encoded []byte, ok bool) {
	if entry.Revision > 0 {
		rec, err := Decode(entry.Value)
		if err != nil || rec.Revision >= r.known.Revision {
			return rec.Revision, nil, false
		}
	}
	encoded, err := Encode(r.known)
	return 0, encoded, err == nil
}

// NextWake returns when the Restorer needs its next RestoreTickMsg, or false if it needs none.
func (r *Restorer) NextWake() (clock.Millis, bool) { return r.dueAt, r.dueAt > 0 && !r.calling }
