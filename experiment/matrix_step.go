package experiment

import (
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

// observation is something that happens in a Tier. Steps are recognised by it.
type observation struct {
	vm             string
	cmd            vm.Cmd
	msg            vm.Msg
	changeRequest  *store.Request   // store call of an operator's change
	changeAccepted bool             // an operator's change was accepted
	replyTo        *attempt.Request // request whose reply leaves an upstream
}

// step is a stage of processing at which a fault can be injected.
type step struct {
	name string
	// delay is the time from the observation to the injection. A fault is always
	// injected after the observed message or command has been processed.
	delay      clock.Millis
	prepare    func(*cell) // provokes the step after the warm-up
	match      func(*cell, observation) bool
	holdOrders bool // orders only start after prepare
	orders     bool // the step is about orders
}

func steps() []step {
	return []step{
		{name: "query-queued", prepare: submitBurst, match: isEvent(timeline.Queued)},
		{name: "query-sent", match: isDispatch(attempt.Query), delay: 1},
		{name: "query-replies-in", match: isPartlyServed, delay: 2},
		{name: "query-extra-running", match: isEvent(timeline.Hedged, timeline.Retried), delay: 2},
		{name: "order-before-claim", match: isOrderSubmitted, orders: true},
		{name: "order-claim-sent", match: isClaimSent, orders: true},
		{name: "order-claim-writing", match: isHeadCall(store.OpSwap), delay: 2, orders: true},
		{name: "order-attempt-sent", match: isDispatch(attempt.Order), delay: 1, orders: true},
		{name: "order-reply-returning", match: isOrderServed, orders: true},
		{name: "claim-read", match: isHeadCall(store.OpGet), holdOrders: true, orders: true},
		{name: "claim-write", match: isHeadCall(store.OpSwap), orders: true},
		{name: "claim-read-back", prepare: loseNextReply, match: isReadBack, orders: true},
		{name: "preset-read", match: isChangeCall(store.OpGet)},
		{name: "preset-write", match: isChangeCall(store.OpSwap), delay: 1},
		{name: "preset-spreading", match: func(_ *cell, m observation) bool { return m.changeAccepted }},
		{name: "carrier-change", prepare: stopOwner, match: isCarrierChange},
		{name: "owner-change", prepare: stopOwner, match: isOwnerChange, orders: true},
	}
}

// submitBurst sends more queries to one VM than it may run at once. They have the
// patient rank, whose deadline is long enough for all of them to run.
func submitBurst(c *cell) {
	n := c.tier.vms[c.rng.IntN(len(c.tier.vms))]
	for range 400 {
		c.load.send(n, &request{rank: rank.Patient})
	}
}

func loseNextReply(c *cell) { c.loseNextReply = true }

// stopOwner gracefully stops a VM that owns a partition and is a carrier.
func stopOwner(c *cell) {
	ids := make([]string, 0, len(c.partitionOwners))
	for _, owner := range c.partitionOwners {
		if owner != "" {
			ids = append(ids, owner)
		}
	}
	if len(ids) == 0 {
		ids = append(ids, c.tier.vms[0].self.ID)
	}
	c.stop(ids[c.rng.IntN(len(ids))])
}

func isEvent(kinds ...timeline.Kind) func(*cell, observation) bool {
	return func(_ *cell, m observation) bool {
		e, ok := m.cmd.(vm.EventCmd)
		for _, k := range kinds {
			if ok && e.Event.Kind == k {
				return true
			}
		}
		return false
	}
}

func isDispatch(kind attempt.Kind) func(*cell, observation) bool {
	return func(_ *cell, m observation) bool {
		d, ok := m.cmd.(vm.DispatchCmd)
		return ok && d.Request.Kind == kind
	}
}

// isPartlyServed recognises a query to which half of the groups have replied. The
// priority is drawn once per query and therefore identifies its attempts.
func isPartlyServed(c *cell, m observation) bool {
	if m.replyTo == nil || m.replyTo.Kind != attempt.Query {
		return false
	}
	c.replyCounts[m.replyTo.Priority]++
	return c.replyCounts[m.replyTo.Priority] == c.tier.Config.Groups/2
}

func isOrderServed(_ *cell, m observation) bool {
	return m.replyTo != nil && m.replyTo.Kind == attempt.Order
}

func isOrderSubmitted(_ *cell, m observation) bool {
	_, ok := m.msg.(vm.OrderMsg)
	return ok
}

func sentClaim(m observation) (order.ClaimRequestMsg, string, bool) {
	p, ok := m.cmd.(vm.SendPeerCmd)
	if !ok {
		return order.ClaimRequestMsg{}, "", false
	}
	claim, ok := p.Body.(vm.ClaimRequest)
	return claim.Msg, p.To, ok && claim.Msg.Op == order.OpClaim
}

func isClaimSent(_ *cell, m observation) bool {
	_, _, ok := sentClaim(m)
	return ok
}

func isHeadRequest(r store.Request) bool { return strings.HasSuffix(r.Key, "/head") }

func isHeadCall(op store.Op) func(*cell, observation) bool {
	return func(_ *cell, m observation) bool {
		s, ok := m.cmd.(vm.StoreCmd)
		return ok && isHeadRequest(s.Request) && s.Request.Op == op
	}
}

// isReadBack recognises the read that follows a write whose reply was lost.
func isReadBack(c *cell, m observation) bool {
	s, ok := m.cmd.(vm.StoreCmd)
	return ok && c.lostReplyKey != "" && s.Request.Key == c.lostReplyKey && s.Request.Op == store.OpGet
}

func isChangeCall(op store.Op) func(*cell, observation) bool {
	return func(_ *cell, m observation) bool { return m.changeRequest != nil && m.changeRequest.Op == op }
}

func isCarrierChange(_ *cell, m observation) bool {
	cc, ok := m.cmd.(vm.ConnectionLimitCmd)
	return ok && cc.Connections > 0
}

func isOwnerChange(c *cell, m observation) bool {
	msg, owner, ok := sentClaim(m)
	if !ok {
		return false
	}
	previous := c.partitionOwners[msg.ID.Partition()]
	return previous != "" && previous != owner
}
