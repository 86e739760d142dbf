package order

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

type phase uint8

const (
	phaseIdle phase = iota
	phaseReadHead
	phaseReadSegment
	phaseSeal
	phaseWrite
)

// partition is what this VM knows of one partition as its owner. The head and
// segments are a cache of the store; the compare-and-swap on revision validates it.
type partition struct {
	n         int
	phase     phase
	callAt    clock.Millis // when the outstanding store call started
	loaded    bool
	head      Head
	revision  uint64
	readAt    clock.Millis // when the cache was last known to be current
	inHead    map[Hash]Claim
	sealed    map[Hash]Claim  // all segments, newer ones override older ones
	have      map[uint64]bool // segments merged into sealed
	reading   uint64          // segment being read
	sealing   uint64          // segment being written
	sealSkip  uint64          // lowest number worth trying after a conflict
	fresh     *freshSegment
	queue     []*operation
	queued    map[opKey]*operation // queue and batch
	batch     *batch
	garbage   []uint64 // segments that no head can list any more
	nextWrite clock.Millis
	retryAt   clock.Millis
	backoff   clock.Millis
	wake      clock.Millis // earliest timer set, 0 for none
}

// freshSegment is a sealed copy of the claims of the head at revision. The next
// head lists it; if the head changes first, it is never listed.
type freshSegment struct {
	ref      SegmentRef
	revision uint64
}

// storeCall says what an outstanding store call is for.
type storeCall struct {
	partition int
	collects  bool // deletes an unlisted segment; the partition does not wait for it
}

type opKey struct {
	op    Op
	token Token
}

// operation is a queued ClaimRequestMsg.
type operation struct {
	msg     ClaimRequestMsg
	token   Hash
	due     clock.Millis // when it asks for a write of its own
	expires clock.Millis
	unsure  bool // part of a write with an unknown result
}

const (
	backoffMs    clock.Millis = 100
	backoffMaxMs              = 2 * clock.Second
	// A runtime reports every store call; a call without report for so long counts as unknown.
	storeCallMs = 10 * clock.Second
	// An existing claim is reported from a cache of at most this age, so that a
	// VM that no longer owns the partition does not report a released claim for long.
	cacheAgeMs = 2 * clock.Second
	// Releases and done marks leave the queue after this time; the entry side
	// asks for a release again.
	markKeepMs = 60 * clock.Second
)

func (p *partition) init(n int) {
	next := p.nextWrite
	wake := p.wake
	garbage := p.garbage
	*p = partition{
		n: n, inHead: make(map[Hash]Claim), sealed: make(map[Hash]Claim), have: make(map[uint64]bool),
		queued: make(map[opKey]*operation), nextWrite: next, wake: wake, garbage: garbage,
	}
}

// HeadKey returns the store key of the head of partition n.
func HeadKey(n int) string { return fmt.Sprintf("orders/%02d/head", n) }

// SegmentKey returns the store key of a sealed segment of partition n.
func SegmentKey(n int, number uint64) string { return fmt.Sprintf("orders/%02d/segment/%d", n, number) }

// find returns the claim of id as of the cache. A released claim does not count.
func (p *partition) find(id Hash) (Claim, bool) {
	c, ok := p.inHead[id]
	if !ok {
		c, ok = p.sealed[id]
	}
	return c, ok && c.State != ClaimReleased
}

func (m *Model) call(now clock.Millis, p *partition, ph phase, r store.Request) {
	p.phase, p.callAt = ph, now
	m.issue(p, r, false)
	m.wakePartition(p, now+storeCallMs)
}

func (m *Model) issue(p *partition, r store.Request, collects bool) {
	m.lastTag++
	r.Owner, r.Tag = "order", m.lastTag
	m.calls[m.lastTag] = storeCall{partition: p.n, collects: collects}
	m.emit(StoreCmd{Request: r})
}

func (m *Model) wakePartition(p *partition, at clock.Millis) {
	if p.wake != 0 && p.wake <= at {
		return
	}
	p.wake = at
	m.wakeAt(at, timerPartition, uint64(p.n))
}
