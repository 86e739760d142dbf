package order

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// enqueue adds an operation to the queue of its partition.
func (m *Model) enqueue(now clock.Millis, msg ClaimRequestMsg) {
	p := &m.partitions[msg.ID.Partition()]
	key := opKey{msg.Op, msg.Token}
	if msg.Op == OpClaim {
		p.dropClaims(func(t Token) bool { return t.VM == msg.Token.VM && t.Incarnation < msg.Token.Incarnation })
	}
	if p.pending[key] != nil || msg.Op == OpClaim && p.pending[opKey{OpRelease, msg.Token}] != nil {
		return
	}
	if msg.Op == OpClaim && !msg.WaitForStore && now < p.retryAt || len(p.pending) >= m.cfg.maxQueue {
		m.respond(now, msg, ResultUnavailable)
		return
	}
	op := &operation{msg: msg, token: msg.Token.Hash(), due: now, expiresAt: now + queueTimeoutMs}
	switch msg.Op {
	case OpClaim:
		op.expiresAt = now + msg.Timeout
	case OpMarkDone:
		op.due = now + m.cfg.doneMarkDelay
	case OpRelease:
		p.drop(opKey{OpClaim, msg.Token})
	}
	p.pending[key] = op
	p.queue = append(p.queue, op)
	m.advance(now, p)
}

// dropClaims removes queued claims whose holder has stopped, so that no claim is
// written that cannot be used or released any more. A claim that may already be in
// the store stays queued. A holder that is still alive requests its claim again.
func (p *partition) dropClaims(holderStopped func(Token) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(op *operation) bool {
		drop := op.msg.Op == OpClaim && !op.maybeWritten && holderStopped(op.msg.Token)
		if drop {
			delete(p.pending, opKey{OpClaim, op.msg.Token})
		}
		return drop
	})
}

// drop removes a queued operation, unless it is part of the batch in flight.
func (p *partition) drop(key opKey) {
	op := p.pending[key]
	if i := slices.Index(p.queue, op); op != nil && i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		delete(p.pending, key)
	}
}

// respond sends the result of an operation to its sender. Done marks get no response.
func (m *Model) respond(now clock.Millis, msg ClaimRequestMsg, r ClaimResult) {
	if msg.Op == OpMarkDone {
		return
	}
	response := ClaimResponseMsg{Token: msg.Token, Result: r}
	if msg.From == m.cfg.vm {
		m.handleClaimResponse(now, response)
		return
	}
	m.emit(PeerCmd{To: msg.From, Msg: response})
}

func (m *Model) complete(now clock.Millis, p *partition, op *operation, r ClaimResult) {
	delete(p.pending, opKey{op.msg.Op, op.msg.Token})
	m.respond(now, op.msg, r)
}

// advance starts the next store call of an idle partition, or sets a timer for it.
func (m *Model) advance(now clock.Millis, p *partition) {
	if p.phase != phaseIdle {
		m.checkCallTimeout(now, p)
		return
	}
	p.expire(now)
	due, ok := p.due()
	if !ok {
		return
	}
	if at := max(due, p.nextWriteAt, p.retryAt); now < at {
		m.setPartitionTimer(p, at)
		return
	}
	switch {
	case !p.loaded:
		m.readHead(now, p)
	case len(p.head.Claims)*encodedClaimSize >= m.cfg.sealThreshold && !p.unlistedIsCurrent():
		m.seal(now, p)
	default:
		m.writeBatch(now, p)
	}
}

// checkCallTimeout handles a store call without a reply as one with an unknown result.
func (m *Model) checkCallTimeout(now clock.Millis, p *partition) {
	if now < p.callStartedAt+storeCallTimeoutMs {
		m.setPartitionTimer(p, p.callStartedAt+storeCallTimeoutMs)
		return
	}
	for tag, c := range m.storeCalls {
		if c.partition == p.index {
			delete(m.storeCalls, tag)
		}
	}
	m.finishCall(now, p, store.Reply{Kind: store.KindUnknown})
}

// expire drops operations whose sender has stopped waiting.
func (p *partition) expire(now clock.Millis) {
	p.queue = slices.DeleteFunc(p.queue, func(op *operation) bool {
		expired := now >= op.expiresAt
		if expired {
			delete(p.pending, opKey{op.msg.Op, op.msg.Token})
		}
		return expired
	})
}

// due returns the earliest time at which a queued operation needs a store call.
func (p *partition) due() (clock.Millis, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	at := p.queue[0].due
	for _, op := range p.queue {
		at = min(at, op.due)
	}
	return at, true
}

// backOff delays the next store call after a failure. Claims that must not wait for
// the store are answered as unavailable, unless an earlier write may have written them.
func (m *Model) backOff(now clock.Millis, p *partition) {
	p.backoff = min(max(2*p.backoff, minBackoffMs), maxBackoffMs)
	p.retryAt = now + p.backoff
	queue := p.queue
	p.queue = nil
	var rejected []*operation
	for _, op := range queue {
		if op.msg.Op == OpClaim && !op.msg.WaitForStore && !op.maybeWritten {
			rejected = append(rejected, op)
			continue
		}
		p.queue = append(p.queue, op)
	}
	for _, op := range rejected {
		m.complete(now, p, op, ResultUnavailable)
	}
	m.advance(now, p)
}
