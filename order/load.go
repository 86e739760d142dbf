package order

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

func (m *Model) readHead(now clock.Millis, p *partition) {
	p.loaded = false
	m.call(now, p, phaseReadHead, store.Request{Op: store.OpGet, Key: HeadKey(p.n)})
}

// stored routes a store reply to the partition that waits for it.
func (m *Model) stored(now clock.Millis, r store.Reply) {
	c, ok := m.calls[r.Tag]
	if !ok {
		return
	}
	delete(m.calls, r.Tag)
	p := &m.parts[c.partition]
	if c.collects {
		m.collected(now, p, r)
		return
	}
	m.finishCall(now, p, r)
}

func (m *Model) finishCall(now clock.Millis, p *partition, r store.Reply) {
	was := p.phase
	p.phase = phaseIdle
	if r.Kind == store.KindUnavailable || r.Kind == store.KindUnknown || r.Kind == store.KindTooLarge {
		m.stats.StoreFailures++
		m.event(timeline.Event{Kind: timeline.StoreFailed, Detail: r.Kind.String()})
	}
	switch was {
	case phaseReadHead:
		m.headRead(now, p, r)
	case phaseReadSegment:
		m.segmentRead(now, p, r)
	case phaseSeal:
		m.sealed(now, p, r)
	case phaseWrite:
		m.written(now, p, r)
	case phaseIdle:
	}
}

func (m *Model) headRead(now clock.Millis, p *partition, r store.Reply) {
	head, err := DecodeHead(r.Entry.Value)
	if r.Kind != store.KindOK || err != nil {
		m.unreadable(HeadKey(p.n), r, err)
		m.fail(now, p)
		return
	}
	p.readAt = now
	p.setHead(head, r.Entry.Revision)
	p.forgetDropped()
	m.readSegments(now, p)
}

// unreadable reports a record that the store returned but that cannot be
// decoded. Its partition refuses every claim until the record is restored.
func (m *Model) unreadable(key string, r store.Reply, err error) {
	if r.Kind != store.KindOK || err == nil {
		return
	}
	m.stats.StoreFailures++
	m.event(timeline.Event{Kind: timeline.StoreFailed, Detail: "cannot decode " + key})
}

func (p *partition) setHead(h Head, revision uint64) {
	p.head, p.revision = h, revision
	clear(p.inHead)
	for _, c := range h.Claims {
		p.inHead[c.ID] = c
	}
}

// forgetDropped empties the segment cache if the head no longer lists a segment in it.
func (p *partition) forgetDropped() {
	listed := make(map[uint64]bool)
	for _, s := range p.head.Segments {
		listed[s.Number] = true
	}
	for n := range p.have {
		if !listed[n] {
			clear(p.sealed)
			clear(p.have)
			return
		}
	}
}

// readSegments reads the listed segments that are not cached, oldest first, so
// that newer claims override older ones.
func (m *Model) readSegments(now clock.Millis, p *partition) {
	for _, s := range p.head.Segments {
		if !p.have[s.Number] {
			p.reading = s.Number
			m.call(now, p, phaseReadSegment, store.Request{Op: store.OpGet, Key: SegmentKey(p.n, s.Number)})
			return
		}
	}
	p.loaded = true
	p.retryAt, p.backoff = 0, 0
	m.advance(now, p)
}

func (m *Model) segmentRead(now clock.Millis, p *partition, r store.Reply) {
	seg, err := DecodeHead(r.Entry.Value)
	if r.Kind != store.KindOK || err != nil || r.Entry.Revision == 0 {
		// A missing segment was dropped by another owner: the head is read again.
		m.unreadable(SegmentKey(p.n, p.reading), r, err)
		m.fail(now, p)
		return
	}
	p.addSealed(p.reading, seg.Claims)
	m.readSegments(now, p)
}

func (p *partition) addSealed(number uint64, claims []Claim) {
	for _, c := range claims {
		p.sealed[c.ID] = c
	}
	p.have[number] = true
}
