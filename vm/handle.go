package vm

import (
	"fmt"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// pollInterval is how often a carrier asks its upstreams for their load. A
// leaving upstream without traffic must be noticed and spread within 3 s.
const pollInterval = clock.Second

// gonePolls is how many polls in a row must fail before a leaving upstream
// counts as stopped. One may fail because the upstream is slow.
const gonePolls = 2

func (c *Core) handle(now clock.Millis, msg Msg) {
	switch m := msg.(type) {
	case QueryMsg:
		c.arriveQuery(now, m)
	case OrderMsg:
		c.arriveOrder(now, m)
	case CallerDisconnectedMsg:
		c.callerGone(m.CallID)
	case ReplyMsg:
		c.noticeLeaving(m.Reply)
		c.push(pool.ReplyMsg{Reply: m.Reply})
	case AbortedMsg:
		c.push(pool.AbortedMsg{ID: m.ID})
	case LoadMsg:
		c.loadReported(now, m)
	case StoreMsg:
		c.storeReplied(m)
	case VMListMsg:
		c.push(fleet.VMListMsg{VMs: m.VMs})
	case PresetRecordMsg:
		c.push(fleet.RecordMsg{Record: m.Record})
	case PresetSwitchedMsg:
		c.event(now, timeline.Event{
			Kind: timeline.PresetSwitched, Revision: m.Change.Revision,
			Detail: fmt.Sprintf("%s by %s: %s (change %s)", m.Change.InForce, m.Change.Author, m.Change.Reason, m.Change.ChangeID),
		})
	case PeerMsg:
		c.ring.Observe(now, m.Stamp)
		c.fromPeer(now, m)
	case PeerUnsentMsg:
		c.peerUnsent(now, m)
	case PeerDownMsg:
		c.peerDown(now, m.VM)
	case StopMsg:
		c.stop(now)
	case TickMsg:
		c.tick(now)
	}
}

func (c *Core) tick(now clock.Millis) {
	due := func(m interface{ NextWake() (clock.Millis, bool) }) bool {
		at, ok := m.NextWake()
		return ok && at <= now
	}
	if due(c.gate) {
		c.push(admission.TickMsg{})
	}
	if due(c.queries) {
		c.push(query.TickMsg{})
	}
	if due(c.pool) {
		c.push(pool.TickMsg{})
	}
	if due(c.orders) {
		c.push(order.TickMsg{})
	}
	if due(c.fleet) {
		c.push(fleet.TickMsg{})
	}
	c.checkStalls(now)
	if c.stopping && !c.drained && c.Drained(now) {
		c.drained = true
		c.event(now, timeline.Event{Kind: timeline.DrainFinished})
	}
	c.endHandovers(now)
	if now >= c.nextPoll {
		c.nextPoll = now + pollInterval
		c.pollUpstreams()
		c.expireForwards(now)
	}
}

// pollUpstreams asks every upstream that this VM carries for its load. An
// upstream that has not answered the last poll is not asked again.
func (c *Core) pollUpstreams() {
	for _, id := range c.carriers.upstreams {
		up := upstream.ID(id)
		if c.carriers.IsCarrier(id, c.self.ID) && !c.polled[up] {
			c.polled[up] = true
			c.emit(PollLoadCmd{Upstream: up})
		}
	}
}

// loadReported uses only what is binding: that the upstream leaves or takes
// work again, and which snapshots it holds. Health and load figures lag.
//
// A leaving upstream is back only after it was gone: its endpoint, which may
// lag or mislead, failed to answer for several polls and then answers without
// leaving. Otherwise only the expiry of the report ends the drain.
func (c *Core) loadReported(now clock.Millis, m LoadMsg) {
	delete(c.polled, m.Upstream)
	leaving := c.fleet.UpstreamLeaving(m.Upstream)
	switch {
	case !leaving:
		delete(c.silentPolls, m.Upstream)
		if m.OK && m.Load.Leaving {
			c.push(fleet.UpstreamLeavingMsg{Upstream: m.Upstream, Leaving: true})
		}
	case !m.OK:
		c.silentPolls[m.Upstream]++
	case m.Load.Leaving || c.silentPolls[m.Upstream] < gonePolls:
		delete(c.silentPolls, m.Upstream)
	default:
		delete(c.silentPolls, m.Upstream)
		c.push(fleet.UpstreamLeavingMsg{Upstream: m.Upstream, Leaving: false})
	}
	if !m.OK {
		return
	}
	c.book.LearnHeld(now, m.Upstream, m.Load.Held)
}

func (c *Core) noticeLeaving(r attempt.Reply) {
	if (r.Leaving || r.Status == attempt.Leaving) && !c.fleet.UpstreamLeaving(upstream.ID(r.Upstream)) {
		c.push(fleet.UpstreamLeavingMsg{Upstream: upstream.ID(r.Upstream), Leaving: true})
	}
}

func (c *Core) storeReplied(m StoreMsg) {
	if m.Reply.Owner == orderOwner {
		c.push(order.StoreMsg{Reply: m.Reply})
		return
	}
	c.push(fleet.StoreMsg{Reply: m.Reply})
}

func (c *Core) stop(now clock.Millis) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.event(now, timeline.Event{Kind: timeline.DrainStarted})
	c.push(admission.DrainMsg{})
	c.push(order.StopMsg{})
	c.push(fleet.StopMsg{})
}
