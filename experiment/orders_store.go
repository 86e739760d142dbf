package experiment

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// orderStore is a fake configuration store in virtual time. A write takes effect
// at most once and in one order for all keys; its reply may be late or lost.
type orderStore struct {
	loop           *Loop
	rng            *rand.Rand
	entries        map[string]store.Entry
	revision       uint64
	downUntil      clock.Millis
	slowUntil      clock.Millis
	lostReplyRatio float64 // fraction of calls whose reply is lost
	writes         int
	onWrite        func(key string, value []byte)
}

const (
	storeTimeoutMs clock.Millis = 250
	storeSlowdown  clock.Millis = 20
)

func newOrderStore(loop *Loop, rng *rand.Rand) *orderStore {
	return &orderStore{loop: loop, rng: rng, entries: make(map[string]store.Entry), onWrite: func(string, []byte) {}}
}

// call performs r and calls done with the reply.
func (s *orderStore) call(r store.Request, done func(store.Reply)) {
	if r.Op == store.OpSwap {
		s.writes++
	}
	reply := store.Reply{Requester: r.Requester, Tag: r.Tag, Op: r.Op}
	if s.loop.Now() < s.downUntil {
		s.fail(reply, done)
		return
	}
	latency := 2 + clock.Millis(s.rng.IntN(4))
	if s.loop.Now() < s.slowUntil {
		latency *= storeSlowdown
	}
	if s.rng.Float64() < s.lostReplyRatio {
		s.loseReply(r, reply, latency, done)
		return
	}
	s.loop.After(latency/2, func() {
		s.apply(r, &reply)
		s.loop.After(latency-latency/2, func() { done(reply) })
	})
}

// fail makes a call during an outage fail, quickly or with a timeout.
func (s *orderStore) fail(reply store.Reply, done func(store.Reply)) {
	reply.Kind = store.KindUnavailable
	wait := clock.Millis(2)
	if s.rng.IntN(3) == 0 {
		reply.Kind, wait = store.KindUnknown, storeTimeoutMs
	}
	s.loop.After(wait, func() { done(reply) })
}

// loseReply reports an unknown result. The call takes effect before or after that report, or never.
func (s *orderStore) loseReply(r store.Request, reply store.Reply, latency clock.Millis, done func(store.Reply)) {
	switch s.rng.IntN(4) {
	case 0:
	case 1:
		latency += clock.Millis(s.rng.IntN(1000))
		fallthrough
	default:
		s.loop.After(latency, func() { s.apply(r, &store.Reply{}) })
	}
	reply.Kind = store.KindUnknown
	s.loop.After(storeTimeoutMs, func() { done(reply) })
}

func (s *orderStore) apply(r store.Request, reply *store.Reply) {
	entry := s.entries[r.Key]
	entry.Key = r.Key
	if r.Op != store.OpGet && entry.Revision != r.Revision {
		reply.Kind = store.KindConflict
		return
	}
	switch r.Op {
	case store.OpSwap:
		s.revision++
		entry = store.Entry{Key: r.Key, Value: r.Value, Revision: s.revision}
		s.entries[r.Key] = entry
		s.onWrite(r.Key, r.Value)
	case store.OpDelete:
		delete(s.entries, r.Key)
	}
	reply.Entry = entry
}
