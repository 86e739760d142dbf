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
	callTimeout  clock.Millis = 10 * clock.Second
	watchTimeout clock.Millis = 90 * clock.Second
	retryMin     clock.Millis = clock.Second
	retryMax     clock.Millis = 15 * clock.Second
	rearmMs      clock.Millis = 100 // bounds the calls of a watch that returns at once
	// A VM that has not joined knows no other, and would hold a watch that stays with the store.
	aloneAfter  clock.Millis = 15 * clock.Second
	createAfter clock.Millis = 3 * clock.Second // peers are asked for this long before a first record is written
)

// storing is the state of the exchange with the configuration store.
type storing struct {
	tag      uint64
	revision uint64 // of the store's entry, which numbers differently from the record
	began    clock.Millis
	lastOK   clock.Millis
	failed   bool // the last read or watch failed
	get      call
	watch    call
	watching bool
	writeTag uint64

	readHash     uint64 // of the last value read
	readRevision uint64 // of the record in it
}

// call is one repeated store call.
type call struct {
	tag      uint64 // outstanding, 0 if none
	at       clock.Millis
	next     clock.Millis
	failures int
}

func (m *Model) startStore(now clock.Millis) {
	s := &m.store
	s.began, s.lastOK = now, now
	// A large fleet that starts at once must not read at once.
	spread := clock.Second + 2*clock.Millis(max(len(m.sync.hints), len(m.members)))
	s.get = call{next: now + 200 + m.jitter(spread)}
	s.watch = call{next: now + m.jitter(clock.Second)}
}

func (m *Model) storeDue(now clock.Millis) {
	s := &m.store
	if s.get.tag != 0 && now >= s.get.at+callTimeout {
		m.callFailed(now, &s.get)
	}
	if s.get.tag == 0 && now >= s.get.next {
		m.call(now, &s.get, store.OpGet)
	}
	s.watching = slices.Contains(m.watchers, m.self.ID) && (m.sync.joined || now >= s.began+aloneAfter)
	if !s.watching {
		return
	}
	if s.watch.tag != 0 && now >= s.watch.at+watchTimeout {
		s.watch.tag = 0
	}
	if s.watch.tag == 0 && now >= s.watch.next {
		m.call(now, &s.watch, store.OpWatch)
	}
}

func (m *Model) call(now clock.Millis, c *call, op store.Op) {
	m.store.tag++
	c.tag, c.at = m.store.tag, now
	req := store.Request{Owner: "fleet", Tag: c.tag, Op: op, Key: preset.StoreKey}
	if op == store.OpWatch {
		req.Expect = m.store.revision
	}
	m.emit(StoreCmd{req})
}

func (m *Model) storeReply(now clock.Millis, r store.Reply) {
	s := &m.store
	switch r.Op {
	case store.OpSwap:
		if r.Tag == s.writeTag {
			s.writeTag = 0
			s.get.next = min(s.get.next, now+rearmMs) // reading back settles every outcome
		}
	case store.OpGet:
		m.callEnded(now, &s.get, r)
	case store.OpWatch:
		m.callEnded(now, &s.watch, r)
	}
}

func (m *Model) callEnded(now clock.Millis, c *call, r store.Reply) {
	current := r.Tag == c.tag
	if r.Kind != store.KindOK {
		if current {
			m.callFailed(now, c)
		}
		return
	}
	m.store.lastOK, m.store.failed = now, false
	if current {
		c.tag, c.failures = 0, 0
		c.next = now + rearmMs
		if c == &m.store.get {
			c.next = now + m.readInterval()
		}
	}
	if current || r.Entry.Revision > m.store.revision {
		m.store.revision = r.Entry.Revision
	}
	m.read(now, r.Entry, current && r.Op == store.OpGet)
}

// read takes over the stored record. The store lags behind the fleet only if
// it lost data or the answer is old; then the record is written back.
func (m *Model) read(now clock.Millis, entry store.Entry, current bool) {
	var stored uint64
	if entry.Revision > 0 {
		var ok bool
		if stored, ok = m.decodeEntry(now, entry.Value); !ok {
			return
		}
	}
	if !current || m.store.writeTag != 0 || stored > 0 && stored >= m.record.Revision {
		return
	}
	switch {
	case m.record.Revision == 0 && now >= m.store.began+createAfter:
		m.write(m.cfg.initial, entry.Revision)
	case m.record.Revision == 0:
		m.store.get.next = now + m.jitter(createAfter)
	case m.store.watching:
		m.write(m.record, entry.Revision)
	}
}

// decodeEntry takes over the stored record and returns its revision. A value
// that was read before is not decoded again.
func (m *Model) decodeEntry(now clock.Millis, value []byte) (uint64, bool) {
	hash := xxhash.Sum64(value)
	if m.store.readRevision > 0 && hash == m.store.readHash {
		return m.store.readRevision, true
	}
	rec, err := preset.Decode(value)
	if err != nil {
		m.event(timeline.Event{Kind: timeline.StoreFailed, Detail: err.Error()})
		return 0, false
	}
	m.store.readHash, m.store.readRevision = hash, rec.Revision
	m.adopt(now, rec, blob{})
	return rec.Revision, true
}

// write compares and swaps on the entry that was just read, so it cannot undo a later change.
func (m *Model) write(rec preset.Record, expect uint64) {
	value, err := preset.Encode(rec)
	if err != nil {
		return
	}
	m.store.tag++
	m.store.writeTag = m.store.tag
	m.emit(StoreCmd{store.Request{
		Owner: "fleet", Tag: m.store.tag, Op: store.OpSwap, Key: preset.StoreKey, Value: value, Expect: expect,
	}})
}

func (m *Model) callFailed(now clock.Millis, c *call) {
	if !m.store.failed {
		m.event(timeline.Event{Kind: timeline.StoreFailed, Detail: "reading the presets failed"})
	}
	m.store.failed = true
	c.tag = 0
	pause := min(retryMin<<min(c.failures, 4), retryMax)
	c.failures++
	if c == &m.store.get && m.record.Revision > 0 {
		pause = m.cfg.read // others watch the store; this VM hears from peers
	}
	c.next = now + pause/2 + m.jitter(pause)
}

func (m *Model) readInterval() clock.Millis {
	return m.cfg.read*4/5 + m.jitter(m.cfg.read*2/5)
}
