package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

const (
	watcherCount              = 3
	getTimeout   clock.Millis = 10 * clock.Second
	watchTimeout clock.Millis = 90 * clock.Second
	retryMin     clock.Millis = clock.Second
	retryMax     clock.Millis = 15 * clock.Second
	minCallDelay clock.Millis = 100 // minimum delay between calls, for a watch that returns immediately
	// Delay before a VM that has not joined watches the store. Such a VM sees no other
	// members and so selects itself as watcher; its watch would stay open at the store.
	soloWatchDelay clock.Millis = 15 * clock.Second
	createDelay    clock.Millis = 3 * clock.Second // time to get the record from peers before a first record is written
)

// storeState is the state of the calls to the configuration store.
type storeState struct {
	lastTag       uint64
	entryRevision uint64 // revision of the store entry; numbered independently of the record's revision
	startedAt     clock.Millis
	lastOK        clock.Millis
	failed        bool // the last read or watch failed
	get           storeCall
	watch         storeCall
	watching      bool
	writeTag      uint64

	lastValueHash      uint64 // hash of the last value read
	lastRecordRevision uint64 // revision of the record in that value
}

// storeCall is the state of a repeated store call.
type storeCall struct {
	tag      uint64 // tag of the outstanding call, 0 if none
	sentAt   clock.Millis
	nextAt   clock.Millis
	failures int
}

func (m *Model) resetStore(now clock.Millis) {
	s := &m.store
	s.startedAt, s.lastOK = now, now
	// Spread the first reads: otherwise all VMs of a large fleet that start together would read at once.
	spread := clock.Second + 2*clock.Millis(max(len(m.sync.hints), len(m.members)))
	s.get = storeCall{nextAt: now + 200 + m.jitter(spread)}
	s.watch = storeCall{nextAt: now + m.jitter(clock.Second)}
}

func (m *Model) runStoreCalls(now clock.Millis) {
	s := &m.store
	if s.get.tag != 0 && now >= s.get.sentAt+getTimeout {
		m.handleCallFailure(now, &s.get)
	}
	if s.get.tag == 0 && now >= s.get.nextAt {
		m.startCall(now, &s.get, store.OpGet)
	}
	s.watching = slices.Contains(m.watchers, m.self.ID) && (m.sync.joined || now >= s.startedAt+soloWatchDelay)
	if !s.watching {
		return
	}
	if s.watch.tag != 0 && now >= s.watch.sentAt+watchTimeout {
		s.watch.tag = 0
	}
	if s.watch.tag == 0 && now >= s.watch.nextAt {
		m.startCall(now, &s.watch, store.OpWatch)
	}
}

func (m *Model) startCall(now clock.Millis, c *storeCall, op store.Op) {
	m.store.lastTag++
	c.tag, c.sentAt = m.store.lastTag, now
	req := store.Request{Requester: "fleet", Tag: c.tag, Op: op, Key: preset.StoreKey}
	if op == store.OpWatch {
		req.Revision = m.store.entryRevision
	}
	m.emit(StoreCmd{req})
}

func (m *Model) handleStoreReply(now clock.Millis, r store.Reply) {
	s := &m.store
	switch r.Op {
	case store.OpSwap:
		if r.Tag == s.writeTag {
			s.writeTag = 0
			s.get.nextAt = min(s.get.nextAt, now+minCallDelay) // a read shows whether the write took effect
		}
	case store.OpGet:
		m.handleCallReply(now, &s.get, r)
	case store.OpWatch:
		m.handleCallReply(now, &s.watch, r)
	}
}

func (m *Model) handleCallReply(now clock.Millis, c *storeCall, r store.Reply) {
	isCurrent := r.Tag == c.tag
	if r.Kind != store.KindOK {
		if isCurrent {
			m.handleCallFailure(now, c)
		}
		return
	}
	m.store.lastOK, m.store.failed, m.store.watch.failures = now, false, 0
	if isCurrent {
		c.tag, c.failures = 0, 0
		c.nextAt = now + minCallDelay
		if c == &m.store.get {
			c.nextAt = now + m.nextReadDelay()
		}
	}
	if isCurrent || r.Entry.Revision > m.store.entryRevision {
		m.store.entryRevision = r.Entry.Revision
	}
	m.handleEntry(now, r.Entry, isCurrent && r.Op == store.OpGet)
}

// handleEntry applies the stored record. The store has an older record than this VM,
// or none, only if it lost data or the reply is outdated; a watcher then writes its
// record back. If this VM has no record either, it writes the initial record after
// createDelay. Only the reply to the current read can cause a write.
func (m *Model) handleEntry(now clock.Millis, entry store.Entry, isCurrentRead bool) {
	var storedRevision uint64
	if entry.Revision > 0 {
		var ok bool
		if storedRevision, ok = m.decodeEntry(now, entry.Value); !ok {
			return
		}
	}
	if !isCurrentRead || m.store.writeTag != 0 || storedRevision > 0 && storedRevision >= m.record.Revision {
		return
	}
	switch {
	case m.record.Revision == 0 && now >= m.store.startedAt+createDelay:
		m.writeRecord(m.cfg.initialRecord, entry.Revision)
	case m.record.Revision == 0:
		m.store.get.nextAt = now + m.jitter(createDelay)
	case m.store.watching:
		m.writeRecord(m.record, entry.Revision)
	}
}

// decodeEntry applies the stored record and returns its revision. A value equal to
// the last one read is not decoded again.
func (m *Model) decodeEntry(now clock.Millis, value []byte) (uint64, bool) {
	hash := xxhash.Sum64(value)
	if m.store.lastRecordRevision > 0 && hash == m.store.lastValueHash {
		return m.store.lastRecordRevision, true
	}
	rec, err := preset.Decode(value)
	if err != nil {
		m.emitEvent(timeline.Event{Kind: timeline.StoreFailed, Detail: err.Error()})
		return 0, false
	}
	m.store.lastValueHash, m.store.lastRecordRevision = hash, rec.Revision
	m.applyRecord(now, rec, compressedRecord{})
	return rec.Revision, true
}

// writeRecord uses compare-and-swap with the revision of the entry just read, so that it cannot overwrite a later change.
func (m *Model) writeRecord(rec preset.Record, expectedRevision uint64) {
	value, err := preset.Encode(rec)
	if err != nil {
		return
	}
	m.store.lastTag++
	m.store.writeTag = m.store.lastTag
	m.emit(StoreCmd{store.Request{
		Requester: "fleet", Tag: m.store.lastTag, Op: store.OpSwap, Key: preset.StoreKey, Value: value, Revision: expectedRevision,
	}})
}

func (m *Model) handleCallFailure(now clock.Millis, c *storeCall) {
	if s := &m.store; c == &s.watch && c.failures == 0 && !s.failed {
		// The store may cut a watch that waits. A read shows whether it is reachable.
		c.tag, c.failures = 0, 1
		c.nextAt = max(now, c.sentAt+retryMin) + m.jitter(minCallDelay)
		s.get.nextAt = min(s.get.nextAt, now+minCallDelay)
		return
	}
	if !m.store.failed {
		m.emitEvent(timeline.Event{Kind: timeline.StoreFailed, Detail: "reading the presets failed"})
	}
	m.store.failed = true
	c.tag = 0
	delay := min(retryMin<<min(c.failures, 4), retryMax)
	c.failures++
	if c == &m.store.get && m.record.Revision > 0 {
		delay = m.cfg.readInterval // other VMs watch the store, and peers send newer records
	}
	c.nextAt = now + delay/2 + m.jitter(delay)
}

func (m *Model) nextReadDelay() clock.Millis {
	return m.cfg.readInterval*4/5 + m.jitter(m.cfg.readInterval*2/5)
}
