package gateway

import (
	"context"
	"encoding/json"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// handedKey identifies a request of another VM.
type handedKey struct {
	from string
	id   uint64
}

// peerMsg is what happened on a stream with another VM.
type peerMsg struct {
	vm     string
	body   vm.PeerBody // nil if the stream broke
	unsent bool
}

// meshHandler passes what happens on the streams to the event loop.
type meshHandler struct{ g *Gateway }

// Received delivers a message.
func (h meshHandler) Received(from string, _ clock.Timestamp, body vm.PeerBody) {
	h.g.post(item{peer: &peerMsg{vm: from, body: body}})
}

// Unsent reports a message that certainly never left this VM.
func (h meshHandler) Unsent(to string, body vm.PeerBody) {
	h.g.post(item{peer: &peerMsg{vm: to, body: body, unsent: true}})
}

// Disconnected reports that a stream broke.
func (h meshHandler) Disconnected(peer string) { h.g.post(item{peer: &peerMsg{vm: peer}}) }

// acceptPeer handles what happened on a stream.
func (g *Gateway) acceptPeer(io context.Context, m *peerMsg) {
	switch b := m.body.(type) {
	case nil:
		g.step(relay.PeerDisconnectedMsg{VM: m.vm})
		g.callersGone(m.vm)
		g.stepCatalog(io, catalog.PeerLostMsg{VM: m.vm})
	case catalog.Subscribe:
		if m.unsent {
			g.stepCatalog(io, catalog.PeerLostMsg{VM: m.vm})
			return
		}
		g.stepCatalog(io, catalog.SubscribeMsg{From: m.vm, Subscribe: b})
	case catalog.Update:
		if !m.unsent {
			g.stepCatalog(io, catalog.UpdateMsg{From: m.vm, Update: b})
		}
	case relay.Delegation:
		if m.unsent {
			g.step(relay.DelegationNotSentMsg{To: m.vm, ID: b.ID})
			return
		}
		g.acceptHandOver(m.vm, b)
	case relay.DelegationAck:
		if !m.unsent {
			g.step(relay.DelegationAckMsg{From: m.vm, ID: b.ID})
		}
	case relay.DelegationResult:
		if !m.unsent {
			g.step(relay.DelegationResultMsg{From: m.vm, Result: b})
		}
	case relay.DelegationCancel:
		key := handedKey{m.vm, b.ID}
		if n, ok := g.handed[key]; ok && !m.unsent {
			g.forgetCall(n)
			g.step(relay.CallerDisconnectedMsg{ID: n})
		}
	}
}

// acceptHandOver takes a request of another VM.
func (g *Gateway) acceptHandOver(from string, h relay.Delegation) {
	key := handedKey{from, h.ID}
	if _, ok := g.handed[key]; ok {
		return
	}
	n := g.calls.Add(1)
	g.handed[key] = n
	g.waiters[n] = &call{request: exchange.NewDelegatedRequest(h.Name, h.Head, h.Body), handed: &key}
	g.step(relay.ArrivalMsg{ID: n, Name: h.Name, Host: h.Host, Path: h.Path, RemainingMs: h.RemainingMs, Delegation: &h})
}

// callersGone ends the requests of a VM whose stream broke.
func (g *Gateway) callersGone(from string) {
	for key, n := range g.handed {
		if key.from == from {
			g.forgetCall(n)
			g.step(relay.CallerDisconnectedMsg{ID: n})
		}
	}
}

// forgetCall forgets a request that needs no answer any more.
func (g *Gateway) forgetCall(n uint64) {
	if w := g.waiters[n]; w != nil && w.handed != nil {
		delete(g.handed, *w.handed)
	}
	delete(g.waiters, n)
}

// tell sends a message to another VM.
func (g *Gateway) tell(to, address string, body vm.PeerBody) {
	if address == "" {
		address = g.vms[to].Address
	}
	g.mesh.Send(to, address, clock.Timestamp{}, body)
}

// setVM takes over the entry of a VM, or its removal.
func (g *Gateway) setVM(id string, v *relay.VM) {
	g.listNew = true
	if v == nil {
		delete(g.vms, id)
	} else {
		g.vms[id] = *v
	}
}

// setFleet tells the state machines which VMs there are.
func (g *Gateway) setFleet(io context.Context) {
	list := make([]relay.VM, 0, len(g.vms))
	for _, v := range g.vms {
		list = append(list, v)
	}
	g.step(relay.FleetMsg{VMs: list})
	feeders, feeds := catalog.Publishers(g.self.ID, g.feedGroup(list))
	g.stepCatalog(io, catalog.PublishersMsg{VMs: feeders, MayPublish: feeds})
}

// feedGroup returns the VMs of this one's data centre, which share what they read
// of the store. One group of all would need fewer calls, but each configuration
// would cross data centres once for each VM.
func (g *Gateway) feedGroup(list []relay.VM) []catalog.Member {
	var group []catalog.Member
	for _, v := range list {
		if v.DataCentre == g.self.DataCentre {
			group = append(group, catalog.Member{ID: v.ID, Capacity: v.CPUMilli})
		}
	}
	return group
}

// stepRegister updates the registrar and makes its calls.
func (g *Gateway) stepRegister(io context.Context, msg roster.RegistrarMsg) {
	if f, ok := msg.(roster.FailedMsg); ok && f.Kind != store.KindConflict {
		// The store does not answer this VM, so a watch that waits may wait in vain.
		g.feed.Reconnect()
	}
	for _, cmd := range g.register.Update(g.clock.Now(), msg) {
		go func() { g.post(item{roster: g.registerCall(io, cmd)}) }()
	}
}

// registerCall makes one call for the registrar and returns its result.
func (g *Gateway) registerCall(ctx context.Context, cmd roster.RegistrarCmd) roster.RegistrarMsg {
	var err error
	var done roster.RegistrarMsg
	switch c := cmd.(type) {
	case roster.GrantCmd:
		var id store.LeaseID
		id, err = g.leases.Grant(ctx, c.TTL)
		done = roster.GrantedMsg{Lease: id}
	case roster.WriteCmd:
		var value []byte
		if value, err = json.Marshal(g.self); err == nil {
			err = g.leases.Put(ctx, g.translator.VMKey(g.self.ID), value, c.Lease)
		}
		done = roster.WrittenMsg{}
	case roster.RenewCmd:
		err = g.leases.KeepAlive(ctx, c.Lease)
		done = roster.RenewedMsg{}
	case roster.RevokeCmd:
		err = g.leases.Revoke(ctx, c.Lease)
		done = roster.RenewedMsg{}
	}
	if err == nil {
		return done
	}
	_ = g.logger.Log("event", "registration_failed", "err", err)
	return roster.FailedMsg{Kind: store.KindOf(err)}
}
