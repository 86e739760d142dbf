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

// partition is the owner's state of one partition. The head and the segments are
// cached from the store; the compare-and-swap on revision detects a stale cache.
type partition struct {
	index          int
	phase          phase
	callStartedAt  clock.Millis // start of the outstanding store call
	loaded         bool
	head           Head
	revision       uint64
	currentAt      clock.Millis // last time at which the cache was known to be current
	headClaims     map[Hash]Claim
	segmentClaims  map[Hash]Claim  // of all cached segments, newer ones override older ones
	cachedSegments map[uint64]bool // segments merged into segmentClaims
	readingSegment uint64          // segment being read
	sealingSegment uint64          // segment being written
	minSealNumber  uint64          // lowest number to try after a conflict
	unlisted       *unlistedSegment
	queue          []*operation
	pending        map[opKey]*operation // operations in queue and batch
	batch          *batch
	garbage        []uint64 // numbers of segments to delete
	nextWriteAt    clock.Millis
	retryAt        clock.Millis
	backoff        clock.Millis
	timerAt        clock.Millis // earliest timer set, 0 if none
}

// unlistedSegment is a sealed copy of the head's claims at the given revision. The
// next head lists it. If the head changes first, the segment is never listed.
type unlistedSegment struct {
	ref      SegmentRef
	revision uint64
}

// storeCall describes an outstanding store call.
type storeCall struct {
	partition         int
	garbageCollection bool // the call reads or deletes a garbage segment; the partition does not wait for it
}

type opKey struct {
	op    Op
	token Token
}

// operation is a queued ClaimRequestMsg.
type operation struct {
	msg          ClaimRequestMsg
	token        Hash
	due          clock.Millis // time from which it needs a write, also without other operations
	expiresAt    clock.Millis
	maybeWritten bool // part of a write whose result is unknown
}

const (
	minBackoffMs clock.Millis = 100
	maxBackoffMs              = 2 * clock.Second
	// The runtime replies to every store call. A call without a reply after this time has an unknown result.
	storeCallTimeoutMs = 10 * clock.Second
	// ResultExists is reported only from a cache of at most this age. Otherwise a VM
	// that no longer owns the partition could keep reporting a claim that was released.
	maxCacheAgeMs = 2 * clock.Second
	// Releases and done marks leave the queue after this time. The VM that requested a
	// release retries it.
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

// find returns the claim of id in the cached head or segments. A released claim counts as absent.
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

func (m *Model) issueCall(p *partition, r store.Request, garbageCollection bool) {
	m.lastStoreTag++
	r.Requester, r.Tag = "order", m.lastStoreTag
	m.storeCalls[m.lastStoreTag] = storeCall{partition: p.index, garbageCollection: garbageCollection}
	m.emit(StoreCmd{Request: r})
}

func (m *Model) setPartitionTimer(p *partition, at clock.Millis) {
	if p.timerAt != 0 && p.timerAt <= at {
		return
	}
	p.timerAt = at
	m.setTimer(at, timerPartition, uint64(p.index))
}
