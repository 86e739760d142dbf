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

// pollIntervalMs is how often a carrier polls the load of its upstreams. The
// draining of an upstream without traffic must be detected and disseminated to
// all VMs within 3 s.
const pollIntervalMs = clock.Second

// stoppedAfterPolls is how many consecutive polls must fail before a leaving
// upstream counts as stopped. One may fail because the upstream is slow.
const stoppedAfterPolls = 2

func (c *Core) handle(now clock.Millis, msg Msg) {
	switch m := msg.(type) {
	case QueryMsg:
		c.startQuery(now, m)
	case OrderMsg:
		c.startOrder(now, m)
	case CallerDisconnectedMsg:
		c.callerDisconnected(m.CallID)
	case ReplyMsg:
		c.reportLeaving(m.Reply)
		c.enqueue(pool.ReplyMsg{Reply: m.Reply})
	case AbortedMsg:
		c.enqueue(pool.AbortedMsg{ID: m.ID})
	case LoadMsg:
		c.handleLoad(now, m)
	case StoreMsg:
		c.handleStoreReply(m)
	case ListedVMsMsg:
		c.enqueue(fleet.ListedVMsMsg{VMs: m.VMs})
	case PresetRecordMsg:
		c.enqueue(fleet.RecordMsg{Record: m.Record})
	case PresetSwitchedMsg:
		c.event(now, timeline.Event{
			Kind: timeline.PresetSwitched, Revision: m.Change.Revision,
			Detail: fmt.Sprintf("%s by %s: %s (change %s)", m.Change.InForce, m.Change.Author, m.Change.Reason, m.Change.ChangeID),
		})
	case PeerMsg:
		c.ring.Observe(now, m.Timestamp)
		c.handlePeerMsg(now, m)
	case PeerUnsentMsg:
		c.handlePeerUnsent(now, m)
	case PeerDisconnectedMsg:
		c.handlePeerDisconnected(now, m.VM)
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
	if due(c.admission) {
		c.enqueue(admission.TickMsg{})
	}
	if due(c.queries) {
		c.enqueue(query.TickMsg{})
	}
	if due(c.pool) {
		c.enqueue(pool.TickMsg{})
	}
	if due(c.orders) {
		c.enqueue(order.TickMsg{})
	}
	if due(c.fleet) {
		c.enqueue(fleet.TickMsg{})
	}
	c.checkStalls(now)
	if c.stopping && !c.drained && c.Drained(now) {
		c.drained = true
		c.event(now, timeline.Event{Kind: timeline.DrainFinished})
	}
	c.finishHandovers(now)
	if now >= c.nextPoll {
		c.nextPoll = now + pollIntervalMs
		c.pollUpstreams()
		c.expireForwards(now)
	}
}

// pollUpstreams polls the load of every upstream of which this VM is a carrier.
// An upstream whose last poll is unanswered is not polled again.
func (c *Core) pollUpstreams() {
	for _, id := range c.carriers.upstreams {
		up := upstream.ID(id)
		if c.carriers.IsCarrier(id, c.self.ID) && !c.unansweredPolls[up] {
			c.unansweredPolls[up] = true
			c.emit(PollLoadCmd{Upstream: up})
		}
	}
}

// handleLoad uses only the binding part of a load report: whether the upstream
// is leaving, and which snapshots it holds. The health and load figures are
// ignored because they lag.
//
// A leaving upstream counts as available again only after a restart, that is,
// if its load endpoint failed several polls and then answers without the leaving
// flag. An answer without the flag is not enough, because the endpoint may be
// stale or wrong. Without a restart, only the expiry of the leaving report ends
// the drain.
func (c *Core) handleLoad(now clock.Millis, m LoadMsg) {
	delete(c.unansweredPolls, m.Upstream)
	leaving := c.fleet.UpstreamLeaving(m.Upstream)
	switch {
	case !leaving:
		delete(c.failedPolls, m.Upstream)
		if m.OK && m.Load.Leaving {
			c.enqueue(fleet.UpstreamLeavingMsg{Upstream: m.Upstream, Leaving: true})
		}
	case !m.OK:
		c.failedPolls[m.Upstream]++
	case m.Load.Leaving || c.failedPolls[m.Upstream] < stoppedAfterPolls:
		delete(c.failedPolls, m.Upstream)
	default:
		delete(c.failedPolls, m.Upstream)
		c.enqueue(fleet.UpstreamLeavingMsg{Upstream: m.Upstream, Leaving: false})
	}
	if !m.OK {
		return
	}
	c.balancer.RecordHeldVersions(now, m.Upstream, m.Load.HeldVersions)
}

func (c *Core) reportLeaving(r attempt.Reply) {
	if (r.Leaving || r.Status == attempt.Leaving) && !c.fleet.UpstreamLeaving(upstream.ID(r.Upstream)) {
		c.enqueue(fleet.UpstreamLeavingMsg{Upstream: upstream.ID(r.Upstream), Leaving: true})
	}
}

func (c *Core) handleStoreReply(m StoreMsg) {
	if m.Reply.Requester == orderRequester {
		c.enqueue(order.StoreMsg{Reply: m.Reply})
		return
	}
	c.enqueue(fleet.StoreMsg{Reply: m.Reply})
}

func (c *Core) stop(now clock.Millis) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.event(now, timeline.Event{Kind: timeline.DrainStarted})
	c.enqueue(admission.DrainMsg{})
	c.enqueue(order.StopMsg{})
	c.enqueue(fleet.StopMsg{})
}
