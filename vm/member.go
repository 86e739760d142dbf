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

// orderRequester marks store requests of the order state machine, so that the
// replies are routed to it.
const orderRequester = "order"

func (c *Core) handleFleetCmds(now clock.Millis, cmds []fleet.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case fleet.SendCmd:
			c.emit(SendPeerCmd{To: m.To, Address: m.Address, Timestamp: c.ring.LastTimestamp(), Body: FleetMessage{Payload: m.Payload}})
		case fleet.LiveCmd:
			c.handleLiveVMs(now, m.VMs)
		case fleet.RecordCmd:
			c.applyRecord(m.Record)
		case fleet.UpstreamLeavingCmd:
			c.handleUpstreamLeaving(now, m)
		case fleet.StoreCmd:
			c.emit(StoreCmd{Request: m.Request})
		case fleet.EventCmd:
			c.event(now, m.Event)
		}
	}
}

func (c *Core) handleLiveVMs(now clock.Millis, vms []fleet.VM) {
	ids := make([]string, len(vms))
	for i, v := range vms {
		ids[i] = v.ID
	}
	c.liveVMCount = len(ids)
	changed := c.carriers.SetMembers(ids)
	if c.routing == RouteDirect {
		changed = c.carriers.upstreams
	}
	for _, id := range changed {
		i := c.carriers.index[id]
		c.startHandover(now, id, c.loads[i])
		c.loads.setCarriers(i, c.carriers.carriersOf(i))
		c.setConnectionLimit(id)
	}
	c.enqueue(order.LiveVMsMsg{VMs: ids})
}

func (c *Core) setConnectionLimit(id string) {
	limit := c.carriers.ConnectionLimit(id, c.self.ID, c.upstreams[id].ConnectionLimit)
	if _, open := c.handovers.open[id]; open {
		limit = min(limit, max(1, c.upstreams[id].ConnectionLimit*handoverPercent/100))
	}
	if c.routing == RouteDirect {
		limit = max(1, c.upstreams[id].ConnectionLimit/max(c.liveVMCount, 1))
	}
	if limit == c.pool.Limit(id) {
		return
	}
	c.enqueue(pool.LimitMsg{Upstream: id, Connections: limit})
	c.emit(ConnectionLimitCmd{Upstream: upstream.ID(id), Connections: limit})
}

func (c *Core) applyRecord(rec preset.Record) {
	p, ok := rec.FindPreset(rec.InForce)
	if !ok {
		return // Validate guarantees that the preset in force exists
	}
	c.preset, c.revision = p, rec.Revision
	c.enqueue(admission.PresetMsg{Preset: p})
	c.enqueue(pool.PresetMsg{Preset: p})
}

func (c *Core) handleUpstreamLeaving(now clock.Millis, m fleet.UpstreamLeavingCmd) {
	if m.Leaving {
		c.balancer.MarkLeaving(now, m.Upstream)
		c.enqueue(pool.LeavingMsg{Upstream: string(m.Upstream)})
		return
	}
	c.balancer.MarkAvailable(now, m.Upstream)
	c.enqueue(pool.AvailableMsg{Upstream: string(m.Upstream)})
}

func (c *Core) handlePeerMsg(now clock.Millis, m PeerMsg) {
	c.forwards.markReceived(m.From, now)
	switch b := m.Body.(type) {
	case Forward:
		c.handleForward(now, m.From, b.Request)
	case Result:
		c.handleResult(now, m.From, b.Reply)
	case CancelForward:
		c.enqueue(pool.CancelMsg{ID: b.ID})
	case FleetMessage:
		c.enqueue(fleet.PeerMsg{From: m.From, Payload: b.Payload})
	case ClaimRequest:
		c.enqueue(b.Msg)
	case ClaimResponse:
		c.enqueue(b.Msg)
	}
}

// handleForward runs an attempt of another VM if this VM is a carrier of the
// upstream.
func (c *Core) handleForward(now clock.Millis, from string, req attempt.Request) {
	if !c.carriers.IsCarrier(req.Upstream, c.self.ID) {
		c.sendPeer(now, from, Result{Reply: attempt.Reply{
			ID: req.ID, Upstream: req.Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted,
		}})
		return
	}
	c.enqueue(pool.EnqueueMsg{Request: req, From: from})
}

func (c *Core) sendClaim(now clock.Millis, m order.PeerCmd) {
	switch msg := m.Msg.(type) {
	case order.ClaimRequestMsg:
		c.sendPeer(now, m.To, ClaimRequest{Msg: msg})
	case order.ClaimResponseMsg:
		c.sendPeer(now, m.To, ClaimResponse{Msg: msg})
	}
}

// sendPeer sends a message to a VM. A VM that has just started sends its first messages
// before the others know it as a member; the results go back on its stream.
func (c *Core) sendPeer(now clock.Millis, to string, body PeerBody) {
	c.emit(SendPeerCmd{To: to, Address: c.fleet.Address(to), Timestamp: c.ring.NextTimestamp(now), Body: body})
}
