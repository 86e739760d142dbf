package order

import (
	"slices"
	"strconv"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

// writeBatch evaluates the queue against the cache and writes the result. If an
// existing claim was found in a cache older than maxCacheAgeMs, it reads the head
// again instead.
func (m *Model) writeBatch(now clock.Millis, p *partition) {
	n := len(p.queue)
	if m.cfg.maxBatch > 0 {
		n = min(n, m.cfg.maxBatch)
	}
	b := newBatch()
	b.evaluate(now, p, p.queue[:n])
	if slices.Contains(b.results, ResultExists) && now > p.currentAt+maxCacheAgeMs {
		m.readHead(now, p)
		return
	}
	p.queue = slices.Clone(p.queue[n:])
	durable, results := b.splitDurable(p)
	needsWrite := len(b.changes) > 0 || b.forceWrite
	if needsWrite {
		m.write(now, p, b)
	}
	for i, op := range durable {
		m.complete(now, p, op, results[i])
	}
	if !needsWrite {
		m.confirm(now, p, b)
		m.advance(now, p)
	}
}

func (m *Model) write(now clock.Millis, p *partition, b *batch) {
	b.build(now, p)
	p.batch = b
	p.nextWriteAt = now + m.cfg.writeInterval
	m.stats.Writes++
	m.startCall(now, p, phaseWrite, store.Request{
		Op: store.OpSwap, Key: HeadKey(p.index), Value: b.encoded, Revision: p.revision,
	})
}

// handleWritten handles the result of a head write.
func (m *Model) handleWritten(now clock.Millis, p *partition, r store.Reply) {
	b := p.batch
	p.batch = nil
	if r.Kind == store.KindOK {
		p.commit(now, b, r.Entry.Revision)
		m.emitBatchEvent(p, b)
		m.confirm(now, p, b)
		m.readGarbage(p)
		m.advance(now, p)
		return
	}
	p.queue = append(slices.Clone(b.ops), p.queue...)
	p.loaded = p.loaded && r.Kind == store.KindUnavailable
	switch r.Kind {
	case store.KindConflict:
		m.stats.Conflicts++
		m.advance(now, p)
	case store.KindUnknown:
		// The head is read again. Claims that took effect are recognised by their tokens.
		for _, op := range b.ops {
			op.maybeWritten = true
		}
		m.advance(now, p)
	default:
		m.backOff(now, p)
	}
}

// commit updates the cache to the head that was written.
func (p *partition) commit(now clock.Millis, b *batch, revision uint64) {
	if b.sealedSegment != nil {
		p.cacheSegment(b.sealedSegment.ref.Number, p.head.Claims)
	}
	p.unlisted, p.minSealNumber = nil, 0
	for _, s := range b.expiredSegments {
		p.garbage = append(p.garbage, s.Number)
	}
	p.setHead(b.head, revision)
	p.currentAt, p.retryAt, p.backoff = now, 0, 0
	if len(b.expiredSegments) > 0 {
		p.evictDropped()
		p.loaded = len(p.cachedSegments) == len(p.head.Segments)
	}
}

// confirm reports the results of a batch whose write took effect or was not needed.
func (m *Model) confirm(now clock.Millis, p *partition, b *batch) {
	for i, op := range b.ops {
		if op.msg.Op == OpRelease {
			m.stats.Releases++
			m.emitEvent(timeline.Event{Kind: timeline.ClaimReleased, Detail: op.msg.Token.String(), Revision: p.revision})
		}
		m.complete(now, p, op, b.results[i])
	}
}

func (m *Model) emitBatchEvent(p *partition, b *batch) {
	claims := 0
	for i, op := range b.ops {
		if op.msg.Op == OpClaim && b.results[i] == ResultClaimed {
			claims++
		}
	}
	m.stats.ClaimsWritten += claims
	m.emitEvent(timeline.Event{
		Kind: timeline.ClaimWritten, Revision: p.revision,
		Detail: "partition=" + strconv.Itoa(p.index) + " claims=" + strconv.Itoa(claims),
	})
}
