package order

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// freshValid reports whether the sealed copy is of the cached head. After a
// crash or a change of the head the copy stays unlisted, and the head still has
// every claim.
func (p *partition) freshValid() bool { return p.fresh != nil && p.fresh.revision == p.revision }

// seal writes the claims of the cached head to a new segment. It takes the
// place of one head write, which then lists the segment and starts afresh.
func (m *Model) seal(now clock.Millis, p *partition) {
	if p.fresh != nil {
		p.garbage = append(p.garbage, p.fresh.ref.Number)
		p.sealSkip = max(p.sealSkip, p.fresh.ref.Number+1)
		p.fresh = nil
	}
	p.sealing = max(p.head.NextSegment, p.sealSkip)
	p.nextWrite = now + m.cfg.writeInterval
	m.stats.Writes++
	segment := Head{Claims: p.head.Claims, NewestIssued: p.head.NewestIssued}
	m.call(now, p, phaseSeal, store.Request{
		Op: store.OpSwap, Key: SegmentKey(p.n, p.sealing), Value: segment.Encode(),
	})
}

// sealed handles the result of a segment write. A number that is taken, or may
// be, is skipped: its segment may differ from this head.
func (m *Model) sealed(now clock.Millis, p *partition, r store.Reply) {
	if r.Kind == store.KindOK {
		p.fresh = &freshSegment{ref: SegmentRef{Number: p.sealing, NewestIssued: p.head.NewestIssued}, revision: p.revision}
		m.advance(now, p)
		return
	}
	if r.Kind == store.KindConflict || r.Kind == store.KindUnknown {
		p.sealSkip = p.sealing + 1
		p.garbage = append(p.garbage, p.sealing)
		// The number may be taken because another owner sealed: the head tells.
		p.loaded = false
	}
	if r.Kind == store.KindConflict || r.Kind == store.KindUnknown {
		m.advance(now, p)
		return
	}
	m.fail(now, p)
}

// collect deletes one segment that no head can list any more: its number is
// below Next and the current head does not list it, so a head that lists it
// would need an older revision. Deleting is best effort.
func (m *Model) collect(p *partition) {
	listed := make(map[uint64]bool)
	for _, s := range p.head.Segments {
		listed[s.Number] = true
	}
	var rest []uint64
	var next uint64
	found := false
	for _, n := range p.garbage {
		switch {
		case listed[n]:
		case !found && n < p.head.NextSegment:
			next, found = n, true
		default:
			rest = append(rest, n)
		}
	}
	p.garbage = rest
	if found {
		m.issue(p, store.Request{Op: store.OpGet, Key: SegmentKey(p.n, next)}, true)
	}
}

// collected deletes the segment that was read for its revision. The delete
// takes the place of one write, so that it counts towards the bound on writes.
func (m *Model) collected(now clock.Millis, p *partition, r store.Reply) {
	if r.Op == store.OpGet && r.Kind == store.KindOK && r.Entry.Revision != 0 {
		p.nextWrite = max(p.nextWrite, now) + m.cfg.writeInterval
		m.stats.Writes++
		m.issue(p, store.Request{Op: store.OpDelete, Key: r.Entry.Key, Expect: r.Entry.Revision}, true)
	}
}
