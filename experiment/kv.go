package experiment

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const storeDelayMs clock.Millis = 3 // usual one-way delay of the fake store

// KV is a fake configuration store in virtual time that holds a single key.
type KV struct {
	Down             bool
	ExtraDelayMs     clock.Millis // maximum extra one-way delay
	LostReplyPercent float64      // replies lost after the call took effect
	Reads            int
	Writes           int
	Watches          int
	Unreachable      func(caller *FleetVM) bool // nil if every VM reaches the store
	OnWrite          func(store.Entry)          // called after every write that took effect; may be nil

	Unconditional bool // writes succeed whatever revision they expect; used by baselines

	entry   store.Entry
	watches []openWatch
	loop    *Loop
	rng     *rand.Rand
}

type openWatch struct {
	after uint64
	tag   uint64
	reply func(store.Reply)
}

// NewKV returns an empty store.
func NewKV(loop *Loop, rng *rand.Rand) *KV { return &KV{loop: loop, rng: rng} }

// Entry returns the stored value directly, without a simulated call.
func (k *KV) Entry() store.Entry { return k.entry }

// OpenWatches returns the number of watches that are waiting for a change.
func (k *KV) OpenWatches() int { return len(k.watches) }

// Call performs r and calls done with the reply. The reply is KindUnknown if it was lost.
func (k *KV) Call(caller *FleetVM, r store.Request, done func(store.Reply)) {
	k.countCall(r.Op)
	reply := store.Reply{Requester: r.Requester, Tag: r.Tag, Op: r.Op}
	k.loop.After(k.delay(), func() {
		if k.Down || k.Unreachable != nil && k.Unreachable(caller) {
			reply.Kind = store.KindUnavailable
			k.loop.After(storeDelayMs, func() { done(reply) })
			return
		}
		if r.Op == store.OpWatch && k.entry.Revision <= r.Revision {
			k.watches = append(k.watches, openWatch{r.Revision, r.Tag, func(reply store.Reply) {
				reply.Requester, reply.Tag, reply.Op = r.Requester, r.Tag, r.Op
				k.reply(reply, done)
			}})
			return
		}
		reply.Kind, reply.Entry = k.apply(r)
		k.reply(reply, done)
	})
}

func (k *KV) apply(r store.Request) (store.Kind, store.Entry) {
	if r.Op != store.OpSwap {
		return store.KindOK, k.entry
	}
	if r.Revision != k.entry.Revision && !k.Unconditional {
		return store.KindConflict, store.Entry{}
	}
	// The revision grows by more than one, as in a store that counts the writes to all keys.
	k.entry = store.Entry{Key: r.Key, Value: r.Value, Revision: k.entry.Revision + 1 + k.rng.Uint64N(9)}
	entry := k.entry
	if k.OnWrite != nil {
		k.OnWrite(entry)
	}
	for _, w := range k.watches {
		w.reply(store.Reply{Entry: entry})
	}
	k.watches = nil
	return store.KindOK, entry
}

func (k *KV) reply(r store.Reply, done func(store.Reply)) {
	if k.rng.Float64()*100 < k.LostReplyPercent {
		r.Kind, r.Entry = store.KindUnknown, store.Entry{}
	}
	k.loop.After(k.delay(), func() { done(r) })
}

// Fail makes the store unavailable and ends the open watches.
func (k *KV) Fail() {
	k.Down = true
	k.CutWatches()
}

// CutWatches ends the open watches without a result.
func (k *KV) CutWatches() {
	for _, w := range k.watches {
		w.reply(store.Reply{Kind: store.KindUnavailable})
	}
	k.watches = nil
}

func (k *KV) delay() clock.Millis {
	return storeDelayMs + clock.Millis(k.rng.Int64N(int64(k.ExtraDelayMs)+1))
}

func (k *KV) countCall(op store.Op) {
	switch op {
	case store.OpGet:
		k.Reads++
	case store.OpWatch:
		k.Watches++
	default:
		k.Writes++
	}
}
