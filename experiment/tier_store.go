package experiment

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// TierStore is a fake configuration store in virtual time with any number of keys.
type TierStore struct {
	Down         bool
	ExtraDelayMs clock.Millis // added to every call
	Reads        int
	Writes       int
	Failed       int // calls that failed while the store was down
	// LoseReply reports whether to lose the reply to a write that took effect. It may be nil.
	LoseReply func(store.Request) bool

	entries map[string]store.Entry
	watches map[string][]func(store.Entry)
	loop    *Loop
	rng     *rand.Rand
}

func newTierStore(loop *Loop, rng *rand.Rand) *TierStore {
	return &TierStore{
		entries: make(map[string]store.Entry), watches: make(map[string][]func(store.Entry)), loop: loop, rng: rng,
	}
}

// Call performs r and calls done with the reply 2 to 5 ms later.
func (s *TierStore) Call(r store.Request, done func(store.Reply)) {
	reply := store.Reply{Requester: r.Requester, Tag: r.Tag, Op: r.Op}
	s.loop.After(s.halfDelay(), func() {
		if s.Down {
			s.Failed++
			reply.Kind = store.KindUnavailable
			s.loop.After(s.halfDelay(), func() { done(reply) })
			return
		}
		if e := s.entries[r.Key]; r.Op == store.OpWatch && e.Revision <= r.Revision {
			s.watches[r.Key] = append(s.watches[r.Key], func(e store.Entry) {
				reply.Entry = e
				s.loop.After(s.halfDelay(), func() { done(reply) })
			})
			return
		}
		reply.Kind, reply.Entry = s.apply(r)
		if write := r.Op == store.OpSwap || r.Op == store.OpDelete; write && reply.Kind == store.KindOK && s.LoseReply != nil && s.LoseReply(r) {
			reply.Kind, reply.Entry = store.KindUnknown, store.Entry{}
		}
		s.loop.After(s.halfDelay(), func() { done(reply) })
	})
}

func (s *TierStore) halfDelay() clock.Millis {
	return 1 + clock.Millis(s.rng.Int64N(2)) + s.ExtraDelayMs/2
}

func (s *TierStore) apply(r store.Request) (store.Kind, store.Entry) {
	old := s.entries[r.Key]
	switch r.Op {
	case store.OpSwap:
		s.Writes++
		if old.Revision != r.Revision {
			return store.KindConflict, store.Entry{}
		}
		e := store.Entry{Key: r.Key, Value: r.Value, Revision: old.Revision + 1}
		s.entries[r.Key] = e
		waiting := s.watches[r.Key]
		delete(s.watches, r.Key)
		for _, notify := range waiting {
			notify(e)
		}
		return store.KindOK, e
	case store.OpDelete:
		s.Writes++
		if old.Revision != r.Revision {
			return store.KindConflict, store.Entry{}
		}
		delete(s.entries, r.Key)
		return store.KindOK, store.Entry{}
	}
	s.Reads++
	old.Key = r.Key
	return store.KindOK, old
}
