package order

import (
	"slices"
	"strconv"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

// writeBatch evaluates the queue against the cache and writes the result.
func (m *Model) writeBatch(now clock.Millis, p *partition) {
	n := len(p.queue)
	if m.cfg.batchLimit > 0 {
		n = min(n, m.cfg.batchLimit)
	}
	b := newBatch()
	b.fill(now, p, p.queue[:n])
	if slices.Contains(b.results, ResultExists) && now > p.readAt+cacheAgeMs {
		m.readHead(now, p)
		return
	}
	p.queue = slices.Clone(p.queue[n:])
	early, results := b.split(p)
	needed := len(b.changes) > 0 || b.touch
	if needed {
		m.write(now, p, b)
	}
	for i, op := range early {
		m.complete(now, p, op, results[i])
	}
	if !needed {
		m.confirm(now, p, b)
		m.advance(now, p)
	}
}

func (m *Model) write(now clock.Millis, p *partition, b *batch) {
	b.build(now, p)
	p.batch = b
	p.nextWrite = now + m.cfg.writeInterval
	m.stats.Writes++
	m.call(now, p, phaseWrite, store.Request{
		Op: store.OpSwap, Key: HeadKey(p.n), Value: b.encoded, Expect: p.revision,
	})
}

// written handles the result of a head write.
func (m *Model) written(now clock.Millis, p *partition, r store.Reply) {
	b := p.batch
	p.batch = nil
	if r.Kind == store.KindOK {
		p.commit(now, b, r.Entry.Revision)
		m.batchEvent(p, b)
		m.confirm(now, p, b)
		m.collect(p)
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
		// The head is read back; claims that took effect are found by their tokens.
		for _, op := range b.ops {
			op.unsure = true
		}
		m.advance(now, p)
	default:
		m.fail(now, p)
	}
}

// commit makes a written head the cache.
func (p *partition) commit(now clock.Millis, b *batch, revision uint64) {
	if b.sealed != nil {
		p.addSealed(b.sealed.ref.Number, p.head.Claims)
	}
	p.fresh, p.sealSkip = nil, 0
	for _, s := range b.expired {
		p.garbage = append(p.garbage, s.Number)
	}
	p.setHead(b.head, revision)
	p.readAt, p.retryAt, p.backoff = now, 0, 0
	if len(b.expired) > 0 {
		p.forgetDropped()
		p.loaded = len(p.have) == len(p.head.Segments)
	}
}

// confirm reports the results of a batch whose write is known to have taken effect.
func (m *Model) confirm(now clock.Millis, p *partition, b *batch) {
	for i, op := range b.ops {
		if op.msg.Op == OpRelease {
			m.stats.Releases++
			m.event(timeline.Event{Kind: timeline.ClaimReleased, Detail: op.msg.Token.String(), Revision: p.revision})
		}
		m.complete(now, p, op, b.results[i])
	}
}

func (m *Model) batchEvent(p *partition, b *batch) {
	claims := 0
	for i, op := range b.ops {
		if op.msg.Op == OpClaim && b.results[i] == ResultClaimed {
			claims++
		}
	}
	m.stats.ClaimsWritten += claims
	m.event(timeline.Event{
		Kind: timeline.ClaimWritten, Revision: p.revision,
		Detail: "partition=" + strconv.Itoa(p.n) + " claims=" + strconv.Itoa(claims),
	})
}
