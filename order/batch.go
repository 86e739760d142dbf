package order

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// batch is one write of a partition's head: the operations that it applies and the resulting head.
type batch struct {
	ops             []*operation
	results         []ClaimResult // parallel to ops, reported once the write is confirmed
	changes         map[Hash]Claim
	changeOrder     []Hash // keys of changes in insertion order
	forceWrite      bool   // write even if nothing changed
	sealedSegment   *unlistedSegment
	expiredSegments []SegmentRef
	newestIssued    clock.Millis
	head            Head
	encoded         []byte
}

func newBatch() *batch { return &batch{changes: make(map[Hash]Claim)} }

func (b *batch) find(p *partition, id Hash) (Claim, bool) {
	if c, ok := b.changes[id]; ok {
		return c, c.State != ClaimReleased
	}
	return p.find(id)
}

func (b *batch) set(c Claim, issuedAt clock.Millis) {
	if _, ok := b.changes[c.ID]; !ok {
		b.changeOrder = append(b.changeOrder, c.ID)
	}
	b.changes[c.ID] = c
	b.newestIssued = max(b.newestIssued, issuedAt)
}

func (b *batch) add(op *operation, r ClaimResult) {
	b.ops = append(b.ops, op)
	b.results = append(b.results, r)
}

// release removes the claim if it has the same token. It always forces a write:
// the new revision makes every older write in flight fail with a conflict, so a
// delayed write of a claim under this token cannot take effect afterwards.
func (b *batch) release(p *partition, op *operation) {
	b.forceWrite = true
	b.add(op, ResultReleased)
	c, ok := b.find(p, op.msg.ID)
	if ok && c.Token == op.token && c.State == ClaimHeld {
		c.State = ClaimReleased
		b.set(c, op.msg.IssuedAt)
	}
}

func (b *batch) markDone(p *partition, op *operation) {
	b.add(op, ResultClaimed)
	c, ok := b.find(p, op.msg.ID)
	if ok && c.Token == op.token && c.State == ClaimHeld {
		c.State = ClaimDone
		b.set(c, op.msg.IssuedAt)
	}
}

// claim evaluates one claim request. A repeated request with the same token is
// confirmed again.
func (b *batch) claim(p *partition, op *operation) {
	c, ok := b.find(p, op.msg.ID)
	switch {
	case !ok:
		b.set(Claim{ID: op.msg.ID, Token: op.token, State: ClaimHeld}, op.msg.IssuedAt)
		b.add(op, ResultClaimed)
	case c.Token == op.token:
		b.add(op, ResultClaimed)
	case c.State == ClaimDone:
		b.add(op, ResultExistsDone)
	default:
		b.add(op, ResultExists)
	}
}

// evaluate applies the operations to the cached head. Releases go first, so that
// a claim under a released token is not written.
func (b *batch) evaluate(now clock.Millis, p *partition, ops []*operation) {
	released := make(map[Token]bool)
	for _, op := range ops {
		if op.msg.Op == OpRelease {
			b.release(p, op)
			released[op.msg.Token] = true
		}
	}
	for _, op := range ops {
		switch {
		case op.msg.Op == OpMarkDone:
			b.markDone(p, op)
		case op.msg.Op != OpClaim:
		case op.msg.IssuedAt < now-MaxIDAge || op.msg.IssuedAt <= p.head.LowWatermark:
			b.add(op, ResultExpired)
		case released[op.msg.Token]:
			b.add(op, ResultUnavailable)
		default:
			b.claim(p, op)
		}
	}
}

// build computes the head to write. A released claim stays in the head, marked as
// released, if a sealed segment still holds an older record of it.
func (b *batch) build(now clock.Millis, p *partition) {
	b.head = Head{NextSegment: p.head.NextSegment, NewestIssued: max(b.newestIssued, p.head.NewestIssued), LowWatermark: p.head.LowWatermark}
	for _, s := range p.head.Segments {
		if s.NewestIssued < now-MaxIDAge-SegmentDropMargin {
			b.expiredSegments = append(b.expiredSegments, s)
			b.head.LowWatermark = max(b.head.LowWatermark, s.NewestIssued)
			continue
		}
		b.head.Segments = append(b.head.Segments, s)
	}
	if p.unlistedIsCurrent() {
		b.sealedSegment = p.unlisted
		b.head.NextSegment = p.unlisted.ref.Number + 1
		b.head.NewestIssued = b.newestIssued
		b.head.Segments = append(b.head.Segments, p.unlisted.ref)
	} else {
		b.copyUnchanged(p)
	}
	for _, id := range b.changeOrder {
		c := b.changes[id]
		if c.State != ClaimReleased || b.inSegment(p, id) {
			b.head.Claims = append(b.head.Claims, c)
		}
	}
	b.encoded = b.head.Encode()
}

func (b *batch) copyUnchanged(p *partition) {
	b.head.Claims = make([]Claim, 0, len(p.head.Claims)+len(b.changeOrder))
	for _, c := range p.head.Claims {
		if _, changed := b.changes[c.ID]; !changed {
			b.head.Claims = append(b.head.Claims, c)
		}
	}
}

// inSegment reports whether a segment listed by the new head contains a claim of id.
func (b *batch) inSegment(p *partition, id Hash) bool {
	_, sealed := p.segmentClaims[id]
	_, inHead := p.headClaims[id]
	return sealed || inHead && b.sealedSegment != nil
}

// resultIsDurable reports whether the result follows from stored state alone and
// does not depend on this write.
func (b *batch) resultIsDurable(p *partition, op *operation, r ClaimResult) bool {
	switch r {
	case ResultExists, ResultExistsDone:
		c, ok := p.find(op.msg.ID)
		_, changed := b.changes[op.msg.ID]
		return ok && !changed && c.Token != op.token
	case ResultExpired, ResultUnavailable:
		return true
	default:
		return false
	}
}

// splitDurable removes the operations whose results are already durable from the
// batch and returns them.
func (b *batch) splitDurable(p *partition) (durable []*operation, results []ClaimResult) {
	kept := 0
	for i, op := range b.ops {
		if b.resultIsDurable(p, op, b.results[i]) {
			durable, results = append(durable, op), append(results, b.results[i])
			continue
		}
		b.ops[kept], b.results[kept] = op, b.results[i]
		kept++
	}
	b.ops, b.results = slices.Clip(b.ops[:kept]), b.results[:kept]
	return durable, results
}
