package order

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

func (m *Model) readHead(now clock.Millis, p *partition) {
	p.loaded = false
	m.startCall(now, p, phaseReadHead, store.Request{Op: store.OpGet, Key: HeadKey(p.index)})
}

// handleStoreReply passes a store reply to the partition that made the call.
func (m *Model) handleStoreReply(now clock.Millis, r store.Reply) {
	call, ok := m.storeCalls[r.Tag]
	if !ok {
		return
	}
	delete(m.storeCalls, r.Tag)
	p := &m.partitions[call.partition]
	if call.garbageCollection {
		m.deleteGarbage(now, p, r)
		return
	}
	m.finishCall(now, p, r)
}

func (m *Model) finishCall(now clock.Millis, p *partition, r store.Reply) {
	finished := p.phase
	p.phase = phaseIdle
	if r.Kind == store.KindUnavailable || r.Kind == store.KindUnknown || r.Kind == store.KindTooLarge {
		m.stats.StoreFailures++
		m.emitEvent(timeline.Event{Kind: timeline.StoreFailed, Detail: r.Kind.String()})
	}
	switch finished {
	case phaseReadHead:
		m.handleHeadRead(now, p, r)
	case phaseReadSegment:
		m.handleSegmentRead(now, p, r)
	case phaseSeal:
		m.handleSealed(now, p, r)
	case phaseWrite:
		m.handleWritten(now, p, r)
	case phaseIdle:
	}
}

func (m *Model) handleHeadRead(now clock.Millis, p *partition, r store.Reply) {
	head, err := DecodeHead(r.Entry.Value)
	if r.Kind != store.KindOK || err != nil {
		m.reportCorrupt(HeadKey(p.index), r, err)
		m.backOff(now, p)
		return
	}
	p.currentAt = now
	p.setHead(head, r.Entry.Revision)
	p.evictDropped()
	m.readSegments(now, p)
}

// reportCorrupt reports a stored record that cannot be decoded; finishCall reports
// failed store calls. The partition refuses every claim until the record is restored.
func (m *Model) reportCorrupt(key string, r store.Reply, err error) {
	if r.Kind != store.KindOK || err == nil {
		return
	}
	m.stats.StoreFailures++
	m.emitEvent(timeline.Event{Kind: timeline.StoreFailed, Detail: "cannot decode " + key})
}

func (p *partition) setHead(h Head, revision uint64) {
	p.head, p.revision = h, revision
	clear(p.headClaims)
	for _, claim := range h.Claims {
		p.headClaims[claim.ID] = claim
	}
}

// evictDropped clears the segment cache if it contains a segment that the head no longer lists.
func (p *partition) evictDropped() {
	listed := make(map[uint64]bool)
	for _, s := range p.head.Segments {
		listed[s.Number] = true
	}
	for n := range p.cachedSegments {
		if !listed[n] {
			clear(p.segmentClaims)
			clear(p.cachedSegments)
			return
		}
	}
}

// readSegments reads the listed segments that are not cached, oldest first, so
// that newer claims override older ones.
func (m *Model) readSegments(now clock.Millis, p *partition) {
	for _, s := range p.head.Segments {
		if !p.cachedSegments[s.Number] {
			p.readingSegment = s.Number
			m.startCall(now, p, phaseReadSegment, store.Request{Op: store.OpGet, Key: SegmentKey(p.index, s.Number)})
			return
		}
	}
	p.loaded = true
	p.retryAt, p.backoff = 0, 0
	m.advance(now, p)
}

func (m *Model) handleSegmentRead(now clock.Millis, p *partition, r store.Reply) {
	seg, err := DecodeHead(r.Entry.Value)
	if r.Kind != store.KindOK || err != nil || r.Entry.Revision == 0 {
		// A missing segment was dropped by another owner, so the head is read again.
		m.reportCorrupt(SegmentKey(p.index, p.readingSegment), r, err)
		m.backOff(now, p)
		return
	}
	p.cacheSegment(p.readingSegment, seg.Claims)
	m.readSegments(now, p)
}

func (p *partition) cacheSegment(number uint64, claims []Claim) {
	for _, claim := range claims {
		p.segmentClaims[claim.ID] = claim
	}
	p.cachedSegments[number] = true
}
