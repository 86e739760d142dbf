package order

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// unlistedIsCurrent reports whether the unlisted segment is a copy of the cached
// head. After a crash or a change of the head the segment stays unlisted, and the
// head still contains every claim.
func (p *partition) unlistedIsCurrent() bool {
	return p.unlisted != nil && p.unlisted.revision == p.revision
}

// seal writes the claims of the cached head to a new segment. It counts as one
// write for the rate limit. The next head write lists the segment and starts with
// no claims.
func (m *Model) seal(now clock.Millis, p *partition) {
	if p.unlisted != nil {
		p.garbage = append(p.garbage, p.unlisted.ref.Number)
		p.minSealNumber = max(p.minSealNumber, p.unlisted.ref.Number+1)
		p.unlisted = nil
	}
	p.sealingSegment = max(p.head.NextSegment, p.minSealNumber)
	p.nextWriteAt = now + m.cfg.writeInterval
	m.stats.Writes++
	segment := Head{Claims: p.head.Claims, NewestIssued: p.head.NewestIssued}
	m.startCall(now, p, phaseSeal, store.Request{
		Op: store.OpSwap, Key: SegmentKey(p.index, p.sealingSegment), Value: segment.Encode(),
	})
}

// handleSealed handles the result of a segment write. A number that is or may be
// taken is skipped, because that segment may differ from this head.
func (m *Model) handleSealed(now clock.Millis, p *partition, r store.Reply) {
	if r.Kind == store.KindOK {
		p.unlisted = &unlistedSegment{ref: SegmentRef{Number: p.sealingSegment, NewestIssued: p.head.NewestIssued}, revision: p.revision}
		m.advance(now, p)
		return
	}
	if r.Kind == store.KindConflict || r.Kind == store.KindUnknown {
		p.minSealNumber = p.sealingSegment + 1
		p.garbage = append(p.garbage, p.sealingSegment)
		// Another owner may have taken the number, so the head is read again.
		p.loaded = false
	}
	if r.Kind == store.KindConflict || r.Kind == store.KindUnknown {
		m.advance(now, p)
		return
	}
	m.backOff(now, p)
}

// readGarbage starts the deletion of one segment that no head can list any more:
// its number is below NextSegment and the current head does not list it, so only a
// write based on an older revision could list it. Such a write conflicts. A failed
// deletion is not retried.
func (m *Model) readGarbage(p *partition) {
	listed := make(map[uint64]bool)
	for _, s := range p.head.Segments {
		listed[s.Number] = true
	}
	var remaining []uint64
	var number uint64
	haveNumber := false
	for _, n := range p.garbage {
		switch {
		case listed[n]:
		case !haveNumber && n < p.head.NextSegment:
			number, haveNumber = n, true
		default:
			remaining = append(remaining, n)
		}
	}
	p.garbage = remaining
	if haveNumber {
		m.issueCall(p, store.Request{Op: store.OpGet, Key: SegmentKey(p.index, number)}, true)
	}
}

// deleteGarbage deletes the segment that readGarbage read to get its revision. The
// delete takes the place of one write, so that it counts towards the write rate limit.
func (m *Model) deleteGarbage(now clock.Millis, p *partition, r store.Reply) {
	if r.Op == store.OpGet && r.Kind == store.KindOK && r.Entry.Revision != 0 {
		p.nextWriteAt = max(p.nextWriteAt, now) + m.cfg.writeInterval
		m.stats.Writes++
		m.issueCall(p, store.Request{Op: store.OpDelete, Key: r.Entry.Key, Revision: r.Entry.Revision}, true)
	}
}
