package standin

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/store"
)

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

var (
	errConflict = errors.New("revision differs")
	errLapsed   = errors.New("lease has lapsed")
)

// Store stands in for the platform's configuration store.
type Store struct {
	*server
	switches
	writes bucket
	reads  bucket

	data     sync.Mutex
	revision uint64 // of the last write; revisions are never reused
	entries  map[string]store.Entry
	leases   map[store.LeaseID]lease
	lastID   store.LeaseID
	changed  chan struct{} // closed and replaced at each write
	calls    map[string]int
	lose     uint64 // effective writes whose answer is still to be lost
	lost     int
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// StartStore serves an empty store until ctx ends or Close.
func StartStore(ctx context.Context, opts ...StoreOption) (*Store, error) {
	s := &Store{
		server:  newServer(ctx, "127.0.0.1:0"),
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]lease),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.switches = switches{
		boolFault("down", s.setDown),
		s.delayFault("slow_ms", &s.slow),
		countFault("lose_answers", 0, 1<<32, always(s.loseAnswers)),
		boolFault("lapse_leases", s.lapseLeases),
		numberFault("writes_per_second", 0, 1e6, s.writes.setRate),
		numberFault("reads_per_second", 0, 1e6, s.reads.setRate),
	}
	return s, s.start(s.route)
}

func (s *Store) loseAnswers(n uint64) {
	s.data.Lock()
	defer s.data.Unlock()
	s.lose = n
}

func (s *Store) lapseLeases(lapse bool) error {
	s.data.Lock()
	defer s.data.Unlock()
	if lapse {
		clear(s.leases)
	}
	return nil
}

func (s *Store) route(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	r, ok := storeRoutes[method+" "+path]
	if !ok {
		answerError(ctx, fasthttp.StatusNotFound, "no %s %s", method, path)
		return
	}
	s.count(r.name)
	limit := &s.reads
	if r.writes {
		limit = &s.writes
	}
	if !limit.take(time.Now()) {
		s.count("rate_limited")
		answerError(ctx, fasthttp.StatusTooManyRequests, "too many calls a second")
		return
	}
	r.serve(s, ctx)
}

func (s *Store) count(name string) {
	s.data.Lock()
	defer s.data.Unlock()
	s.calls[name]++
}

// losesAnswer reports whether the answer to an effective write is to be lost.
func (s *Store) losesAnswer() bool {
	s.data.Lock()
	defer s.data.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	s.lost++
	return true
}

func (s *Store) put(key string, value []byte, expect uint64) (store.Entry, error) {
	s.data.Lock()
	defer s.data.Unlock()
	if s.entries[key].Revision != expect {
		return store.Entry{}, errConflict
	}
	s.revision++
	e := store.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	s.wake()
	return e, nil
}

func (s *Store) remove(key string, expect uint64) error {
	s.data.Lock()
	defer s.data.Unlock()
	if s.entries[key].Revision != expect {
		return errConflict
	}
	delete(s.entries, key)
	s.wake()
	return nil
}

// wake ends the wait of all watches. The caller holds s.data.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(key string) (e store.Entry, changed <-chan struct{}) {
	s.data.Lock()
	defer s.data.Unlock()
	e = s.entries[key]
	e.Key = key
	return e, s.changed
}

func (s *Store) grant(ttl time.Duration) store.LeaseID {
	s.data.Lock()
	defer s.data.Unlock()
	s.lastID++
	s.leases[s.lastID] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	return s.lastID
}

// extend renews a lease, or ends it if ends is set.
func (s *Store) extend(id store.LeaseID, ends bool) error {
	s.data.Lock()
	defer s.data.Unlock()
	l, ok := s.leases[id]
	if !ok || time.Now().After(l.until) {
		delete(s.leases, id)
		return errLapsed
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	if ends {
		delete(s.leases, id)
	}
	return nil
}

// Entry returns a key without counting a call.
func (s *Store) Entry(key string) store.Entry {
	e, _ := s.get(key)
	return e
}

// Calls returns the number of calls by kind: get, swap, delete, watch, grant,
// keep_alive, revoke, and rate_limited for those refused by a rate.
func (s *Store) Calls() map[string]int {
	s.data.Lock()
	defer s.data.Unlock()
	return maps.Clone(s.calls)
}

// DroppedReplies returns how many effective writes were not answered.
func (s *Store) DroppedReplies() int {
	s.data.Lock()
	defer s.data.Unlock()
	return s.lost
}
