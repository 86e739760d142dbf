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

// moment is something that happens in a Tier; steps are recognised by it.
type moment struct {
	vm       string
	cmd      vm.Cmd
	msg      vm.Msg
	change   *store.Request   // of an operator's change
	accepted bool             // an operator's change was accepted
	served   *attempt.Request // an upstream sends the reply to it
}

// step is a point in the life of some work at which a fault can strike.
type step struct {
	name string
	// delay is the time from the moment to the strike; the moment itself
	// is over before any fault strikes.
	delay   clock.Millis
	prepare func(*cell) // provokes the step once the load is steady
	match   func(*cell, moment) bool
	lazy    bool // no orders before the step is provoked
	orders  bool // concerns orders
}

func steps() []step {
	return []step{
		{name: "query-queued", prepare: burst, match: isEvent(timeline.Queued)},
		{name: "query-sent", match: isDispatch(attempt.Query), delay: 1},
		{name: "query-replies-in", match: isPartlyServed, delay: 2},
		{name: "query-extra-running", match: isEvent(timeline.Hedged, timeline.Retried), delay: 2},
		{name: "order-before-claim", match: isOrder, orders: true},
		{name: "order-claim-sent", match: isClaim, orders: true},
		{name: "order-claim-writing", match: isHeadCall(store.OpSwap), delay: 2, orders: true},
		{name: "order-attempt-sent", match: isDispatch(attempt.Order), delay: 1, orders: true},
		{name: "order-reply-returning", match: isOrderServed, orders: true},
		{name: "claim-read", match: isHeadCall(store.OpGet), lazy: true, orders: true},
		{name: "claim-write", match: isHeadCall(store.OpSwap), orders: true},
		{name: "claim-read-back", prepare: loseOnce, match: isReadBack, orders: true},
		{name: "preset-read", match: isChangeCall(store.OpGet)},
		{name: "preset-write", match: isChangeCall(store.OpSwap), delay: 1},
		{name: "preset-spreading", match: func(_ *cell, m moment) bool { return m.accepted }},
		{name: "carrier-change", prepare: stopOwner, match: isCarrierChange},
		{name: "owner-change", prepare: stopOwner, match: isOwnerChange, orders: true},
	}
}

// burst sends more queries to one VM than it may run at once. They are patient,
// so that their deadline lets all of them run.
func burst(c *cell) {
	n := c.tier.nodes[c.rng.IntN(len(c.tier.nodes))]
	for range 400 {
		c.load.send(n, &request{rank: rank.Patient})
	}
}

func loseOnce(c *cell) { c.loseNext = true }

// stopOwner stops a VM as planned that owns a partition and carries upstreams.
func stopOwner(c *cell) {
	ids := make([]string, 0, len(c.owners))
	for _, to := range c.owners {
		if to != "" {
			ids = append(ids, to)
		}
	}
	if len(ids) == 0 {
		ids = append(ids, c.tier.nodes[0].self.ID)
	}
	c.stop(ids[c.rng.IntN(len(ids))])
}

func isEvent(kinds ...timeline.Kind) func(*cell, moment) bool {
	return func(_ *cell, m moment) bool {
		e, ok := m.cmd.(vm.EventCmd)
		for _, k := range kinds {
			if ok && e.Event.Kind == k {
				return true
			}
		}
		return false
	}
}

func isDispatch(kind attempt.Kind) func(*cell, moment) bool {
	return func(_ *cell, m moment) bool {
		d, ok := m.cmd.(vm.DispatchCmd)
		return ok && d.Request.Kind == kind
	}
}

// isPartlyServed recognises a query of which some groups have replied. The
// priority is drawn once per query and so identifies its attempts.
func isPartlyServed(c *cell, m moment) bool {
	if m.served == nil || m.served.Kind != attempt.Query {
		return false
	}
	c.replies[m.served.Priority]++
	return c.replies[m.served.Priority] == c.tier.Config.Groups/2
}

func isOrderServed(_ *cell, m moment) bool { return m.served != nil && m.served.Kind == attempt.Order }

func isOrder(_ *cell, m moment) bool {
	_, ok := m.msg.(vm.OrderMsg)
	return ok
}

func claimOf(m moment) (order.ClaimRequestMsg, string, bool) {
	p, ok := m.cmd.(vm.SendPeerCmd)
	if !ok {
		return order.ClaimRequestMsg{}, "", false
	}
	claim, ok := p.Body.(vm.ClaimRequest)
	return claim.Msg, p.To, ok && claim.Msg.Op == order.OpClaim
}

func isClaim(_ *cell, m moment) bool {
	_, _, ok := claimOf(m)
	return ok
}

func isHead(r store.Request) bool { return strings.HasSuffix(r.Key, "/head") }

func isHeadCall(op store.Op) func(*cell, moment) bool {
	return func(_ *cell, m moment) bool {
		s, ok := m.cmd.(vm.StoreCmd)
		return ok && isHead(s.Request) && s.Request.Op == op
	}
}

// isReadBack recognises the read after a write whose answer was lost.
func isReadBack(c *cell, m moment) bool {
	s, ok := m.cmd.(vm.StoreCmd)
	return ok && c.lostKey != "" && s.Request.Key == c.lostKey && s.Request.Op == store.OpGet
}

func isChangeCall(op store.Op) func(*cell, moment) bool {
	return func(_ *cell, m moment) bool { return m.change != nil && m.change.Op == op }
}

func isCarrierChange(_ *cell, m moment) bool {
	cc, ok := m.cmd.(vm.ConnectionLimitCmd)
	return ok && cc.Connections > 0
}

func isOwnerChange(c *cell, m moment) bool {
	msg, to, ok := claimOf(m)
	if !ok {
		return false
	}
	before := c.owners[msg.ID.Partition()]
	return before != "" && before != to
}
