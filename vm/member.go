package vm

import (
	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/upstream"
)

// orderOwner routes answers of the store to the order machine.
const orderOwner = "order"

func (c *Core) fromFleet(now clock.Millis, cmds []fleet.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case fleet.SendCmd:
			c.emit(SendPeerCmd{To: m.To, Address: m.Address, Stamp: c.ring.LastTimestamp(), Body: FleetMessage{Payload: m.Payload}})
		case fleet.LiveCmd:
			c.liveChanged(now, m.VMs)
		case fleet.RecordCmd:
			c.recordInForce(m.Record)
		case fleet.UpstreamLeavingCmd:
			c.upstreamReported(now, m)
		case fleet.StoreCmd:
			c.emit(StoreCmd{Request: m.Request})
		case fleet.EventCmd:
			c.event(now, m.Event)
		}
	}
}

func (c *Core) liveChanged(now clock.Millis, vms []fleet.VM) {
	ids := make([]string, len(vms))
	for i, v := range vms {
		ids[i] = v.ID
	}
	c.live = len(ids)
	changed := c.carriers.SetMembers(ids)
	if c.routing == RouteDirect {
		changed = c.carriers.upstreams
	}
	for _, id := range changed {
		i := c.carriers.index[id]
		c.beginHandover(now, id, c.loads[i])
		c.loads.keep(i, c.carriers.current(i))
		c.setConnections(id)
	}
	c.push(order.LiveVMsMsg{VMs: ids})
}

func (c *Core) setConnections(id string) {
	limit := c.carriers.ConnectionLimit(id, c.self.ID, c.ups[id].Connections)
	if _, open := c.handovers.open[id]; open {
		limit = min(limit, max(1, c.ups[id].Connections*handoverPercent/100))
	}
	if c.routing == RouteDirect {
		limit = max(1, c.ups[id].Connections/max(c.live, 1))
	}
	if limit == c.pool.Limit(id) {
		return
	}
	c.push(pool.LimitMsg{Upstream: id, Connections: limit})
	c.emit(ConnectionLimitCmd{Upstream: upstream.ID(id), Connections: limit})
}

func (c *Core) recordInForce(rec preset.Record) {
	p, ok := rec.FindPreset(rec.InForce)
	if !ok {
		return // Validate guarantees that the preset in force exists
	}
	c.preset, c.revision = p, rec.Revision
	c.push(admission.PresetMsg{Preset: p})
	c.push(pool.PolicyMsg{Preset: p})
}

func (c *Core) upstreamReported(now clock.Millis, m fleet.UpstreamLeavingCmd) {
	if m.Leaving {
		c.book.MarkLeaving(now, m.Upstream)
		c.push(pool.LeavingMsg{Upstream: string(m.Upstream)})
		return
	}
	c.book.MarkBack(now, m.Upstream)
	c.push(pool.AvailableMsg{Upstream: string(m.Upstream)})
}

func (c *Core) fromPeer(now clock.Millis, m PeerMsg) {
	c.forwards.heard(m.From, now)
	switch b := m.Body.(type) {
	case Forward:
		c.forwardReceived(now, m.From, b.Request)
	case Result:
		c.resultReceived(now, m.From, b.Reply)
	case CancelForward:
		c.push(pool.CancelMsg{ID: b.ID})
	case FleetMessage:
		c.push(fleet.PeerMsg{From: m.From, Payload: b.Payload})
	case ClaimRequest:
		c.push(b.Msg)
	case ClaimResponse:
		c.push(b.Msg)
	}
}

// forwardReceived runs an attempt for another VM if this VM carries the upstream.
func (c *Core) forwardReceived(now clock.Millis, from string, req attempt.Request) {
	if !c.carriers.IsCarrier(req.Upstream, c.self.ID) {
		c.sendPeer(now, from, Result{Reply: attempt.Reply{
			ID: req.ID, Upstream: req.Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted,
		}})
		return
	}
	c.push(pool.EnqueueMsg{Request: req, From: from})
}

func (c *Core) sendClaim(now clock.Millis, m order.PeerCmd) {
	switch msg := m.Msg.(type) {
	case order.ClaimRequestMsg:
		c.sendPeer(now, m.To, ClaimRequest{Msg: msg})
	case order.ClaimResponseMsg:
		c.sendPeer(now, m.To, ClaimResponse{Msg: msg})
	}
}

// sendPeer sends to a member by identifier. A message to a VM that is not a
// member is reported as unsent by the runtime, because it has no address.
func (c *Core) sendPeer(now clock.Millis, to string, body PeerBody) {
	c.emit(SendPeerCmd{To: to, Address: c.fleet.Address(to), Stamp: c.ring.NextTimestamp(now), Body: body})
}
