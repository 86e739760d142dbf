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

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

var (
	errConflict     = errors.New("revision does not match")
	errLeaseExpired = errors.New("lease has expired")
)

// Store is a fake of the platform's configuration store.
type Store struct {
	*server
	faultSet
	writes bucket
	reads  bucket

	dataMu         sync.Mutex
	revision       uint64 // of the last write; revisions are never reused
	entries        map[string]store.Entry
	leases         map[store.LeaseID]lease
	lastLeaseID    store.LeaseID
	changed        chan struct{} // closed and replaced on each write
	calls          map[string]int
	repliesToDrop  uint64 // applied writes whose replies are still to be dropped
	droppedReplies int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// StartStore serves an empty store until ctx is cancelled or Close is called.
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
	s.faultSet = faultSet{
		boolFault("down", s.setDown),
		s.delayFault("slow_ms", &s.callDelay),
		countFault("lose_answers", 0, 1<<32, noError(s.dropReplies)),
		boolFault("lapse_leases", s.expireLeases),
		numberFault("writes_per_second", 0, 1e6, s.writes.setRate),
		numberFault("reads_per_second", 0, 1e6, s.reads.setRate),
	}
	return s, s.start(s.route)
}

func (s *Store) dropReplies(n uint64) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	s.repliesToDrop = n
}

func (s *Store) expireLeases(expire bool) error {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if expire {
		clear(s.leases)
	}
	return nil
}

func (s *Store) route(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	r, ok := storeRoutes[method+" "+path]
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no %s %s", method, path)
		return
	}
	s.count(r.name)
	limit := &s.reads
	if r.isWrite {
		limit = &s.writes
	}
	if !limit.take(time.Now()) {
		s.count("rate_limited")
		writeError(ctx, fasthttp.StatusTooManyRequests, "calls exceed the rate limit")
		return
	}
	r.serve(s, ctx)
}

func (s *Store) count(name string) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	s.calls[name]++
}

// dropsReply reports whether the reply to an applied write is to be dropped.
func (s *Store) dropsReply() bool {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if s.repliesToDrop == 0 {
		return false
	}
	s.repliesToDrop--
	s.droppedReplies++
	return true
}

func (s *Store) put(key string, value []byte, expect uint64) (store.Entry, error) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if s.entries[key].Revision != expect {
		return store.Entry{}, errConflict
	}
	s.revision++
	e := store.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	s.notifyWatches()
	return e, nil
}

func (s *Store) remove(key string, expect uint64) error {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if s.entries[key].Revision != expect {
		return errConflict
	}
	delete(s.entries, key)
	s.notifyWatches()
	return nil
}

// notifyWatches wakes all pending watches. The caller holds s.dataMu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(key string) (e store.Entry, changed <-chan struct{}) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	e = s.entries[key]
	e.Key = key
	return e, s.changed
}

func (s *Store) grant(ttl time.Duration) store.LeaseID {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.lastLeaseID
}

// updateLease renews a lease, or revokes it if revoke is set.
func (s *Store) updateLease(id store.LeaseID, revoke bool) error {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	l, ok := s.leases[id]
	if !ok || time.Now().After(l.expiresAt) {
		delete(s.leases, id)
		return errLeaseExpired
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	if revoke {
		delete(s.leases, id)
	}
	return nil
}

// Entry returns the entry of a key without counting a call.
func (s *Store) Entry(key string) store.Entry {
	e, _ := s.get(key)
	return e
}

// Calls returns the number of calls by kind: get, swap, delete, watch, grant,
// keep_alive, revoke, and rate_limited for those rejected by a rate limit.
func (s *Store) Calls() map[string]int {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return maps.Clone(s.calls)
}

// DroppedReplies returns how many applied writes got no reply.
func (s *Store) DroppedReplies() int {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return s.droppedReplies
}
