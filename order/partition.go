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
	index          int
	phase          phase
	callStartedAt  clock.Millis // when the outstanding store call started
	loaded         bool
	head           Head
	revision       uint64
	currentAt      clock.Millis // when the cache was last known to be current
	headClaims     map[Hash]Claim
	segmentClaims  map[Hash]Claim  // all segments, newer ones override older ones
	cachedSegments map[uint64]bool // segments merged into sealed
	readingSegment uint64          // segment being read
	sealingSegment uint64          // segment being written
	minSealNumber  uint64          // lowest number worth trying after a conflict
	unlisted       *unlistedSegment
	queue          []*operation
	pending        map[opKey]*operation // queue and batch
	batch          *batch
	garbage        []uint64 // segments that no head can list any more
	nextWriteAt    clock.Millis
	retryAt        clock.Millis
	backoff        clock.Millis
	timerAt        clock.Millis // earliest timer set, 0 for none
}

// unlistedSegment is a sealed copy of the claims of the head at revision. The next
// head lists it; if the head changes first, it is never listed.
type unlistedSegment struct {
	ref      SegmentRef
	revision uint64
}

// storeCall says what an outstanding store call is for.
type storeCall struct {
	partition         int
	garbageCollection bool // deletes an unlisted segment; the partition does not wait for it
}

type opKey struct {
	op    Op
	token Token
}

// operation is a queued ClaimRequestMsg.
type operation struct {
	msg          ClaimRequestMsg
	token        Hash
	due          clock.Millis // when it asks for a write of its own
	expiresAt    clock.Millis
	maybeWritten bool // part of a write with an unknown result
}

const (
	minBackoffMs clock.Millis = 100
	maxBackoffMs              = 2 * clock.Second
	// A runtime reports every store call; a call without report for so long counts as unknown.
	storeCallTimeoutMs = 10 * clock.Second
	// An existing claim is reported from a cache of at most this age, so that a
	// VM that no longer owns the partition does not report a released claim for long.
	maxCacheAgeMs = 2 * clock.Second
	// Releases and done marks leave the queue after this time; the entry side
	// asks for a release again.
	queueTimeoutMs = 60 * clock.Second
)

func (p *partition) reset(n int) {
	nextWriteAt := p.nextWriteAt
	timerAt := p.timerAt
	garbage := p.garbage
	*p = partition{
		index: n, headClaims: make(map[Hash]Claim), segmentClaims: make(map[Hash]Claim), cachedSegments: make(map[uint64]bool),
		pending: make(map[opKey]*operation), nextWriteAt: nextWriteAt, timerAt: timerAt, garbage: garbage,
	}
}

// HeadKey returns the store key of the head of partition n.
func HeadKey(n int) string { return fmt.Sprintf("orders/%02d/head", n) }

// SegmentKey returns the store key of a sealed segment of partition n.
func SegmentKey(n int, number uint64) string { return fmt.Sprintf("orders/%02d/segment/%d", n, number) }

// find returns the claim of id as of the cache. A released claim does not count.
func (p *partition) find(id Hash) (Claim, bool) {
	c, ok := p.headClaims[id]
	if !ok {
		c, ok = p.segmentClaims[id]
	}
	return c, ok && c.State != ClaimReleased
}

func (m *Model) startCall(now clock.Millis, p *partition, ph phase, r store.Request) {
	p.phase, p.callStartedAt = ph, now
	m.issueCall(p, r, false)
	m.setPartitionTimer(p, now+storeCallTimeoutMs)
}

func (m *Model) issueCall(p *partition, r store.Request, collects bool) {
	m.lastStoreTag++
	r.Owner, r.Tag = "order", m.lastStoreTag
	m.storeCalls[m.lastStoreTag] = storeCall{partition: p.index, garbageCollection: collects}
	m.emit(StoreCmd{Request: r})
}

func (m *Model) setPartitionTimer(p *partition, at clock.Millis) {
	if p.timerAt != 0 && p.timerAt <= at {
		return
	}
	p.timerAt = at
	m.setTimer(at, timerPartition, uint64(p.index))
}
