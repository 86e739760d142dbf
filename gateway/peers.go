package gateway

import (
	"context"
	"encoding/json"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// delegationKey identifies a request that another VM delegated to this one.
type delegationKey struct {
	from string
	id   uint64
}

// peerEvent is an event on the stream to another VM: a received message, a message
// that was not sent, or the end of the stream.
type peerEvent struct {
	vm     string
	body   vm.PeerBody // nil if the stream broke
	unsent bool
	at     clock.Millis // when it was received
}

// meshHandler passes events of the peer streams to the event loop.
type meshHandler struct{ g *Gateway }

// Received queues a message from another VM.
func (h meshHandler) Received(from string, _ clock.Timestamp, body vm.PeerBody) {
	h.g.post(loopMsg{peer: &peerEvent{vm: from, body: body, at: h.g.clock.Now()}})
}

// Malformed logs and counts a message of another VM that could not be decoded.
func (h meshHandler) Malformed(from string, err error) {
	h.g.metrics.skippedItems.Inc()
	_ = h.g.logger.Log("event", "message_skipped", "from", from, "err", shorten(err))
}

// Unsent queues the report of a message that provably never left this VM.
func (h meshHandler) Unsent(to string, body vm.PeerBody) {
	h.g.post(loopMsg{peer: &peerEvent{vm: to, body: body, unsent: true}})
}

// Disconnected queues the report of a broken stream.
func (h meshHandler) Disconnected(peer string) { h.g.post(loopMsg{peer: &peerEvent{vm: peer}}) }

// handlePeer handles an event of a peer stream.
func (g *Gateway) handlePeer(ioCtx context.Context, m *peerEvent) {
	switch b := m.body.(type) {
	case nil:
		g.stepRelay(relay.PeerDisconnectedMsg{VM: m.vm})
		g.cancelDelegationsFrom(m.vm)
		g.stepCatalog(ioCtx, catalog.PeerLostMsg{VM: m.vm})
		g.postQuota(quota.UnreachableMsg{VM: m.vm})
	case quota.Ask:
		if m.unsent {
			g.postQuota(quota.UnreachableMsg{VM: m.vm})
			return
		}
		g.postQuota(quota.AskMsg{From: m.vm, Ask: b})
	case quota.Grant:
		if !m.unsent {
			g.postQuota(quota.GrantMsg{From: m.vm, Grant: b})
		}
	case catalog.Subscribe:
		if m.unsent {
			g.stepCatalog(ioCtx, catalog.PeerLostMsg{VM: m.vm})
			return
		}
		g.stepCatalog(ioCtx, catalog.SubscribeMsg{From: m.vm, Subscribe: b})
	case catalog.Update:
		if !m.unsent {
			g.stepCatalog(ioCtx, catalog.UpdateMsg{From: m.vm, Update: b})
		}
	case relay.Delegation:
		if m.unsent {
			g.stepRelay(relay.DelegationNotSentMsg{To: m.vm, ID: b.ID})
			return
		}
		g.acceptDelegation(m.vm, b, g.clock.Now()-m.at)
	case relay.DelegationAck:
		if !m.unsent {
			g.stepRelay(relay.DelegationAckMsg{From: m.vm, ID: b.ID})
		}
	case relay.DelegationResult:
		if !m.unsent {
			g.stepRelay(relay.DelegationResultMsg{From: m.vm, Result: b})
		}
	case relay.DelegationCancel:
		key := delegationKey{m.vm, b.ID}
		if id, ok := g.delegations[key]; ok && !m.unsent {
			g.removeCall(id)
			g.stepRelay(relay.CallerDisconnectedMsg{ID: id})
		}
	}
}

// acceptDelegation starts a request that another VM delegated and that has waited here. A
// duplicate is ignored.
func (g *Gateway) acceptDelegation(from string, d relay.Delegation, waited clock.Millis) {
	key := delegationKey{from, d.ID}
	if _, ok := g.delegations[key]; ok {
		return
	}
	id := g.lastCallID.Add(1)
	g.delegations[key] = id
	g.delegated.Store(int64(len(g.delegations)))
	// An earlier release delegates the credentials of the caller too.
	head := exchange.RemoveFields(d.Head, g.isIdentity)
	g.calls[id] = &call{request: exchange.NewDelegatedRequest(d.Name, head, d.Body), delegation: &key}
	g.stepRelay(relay.ArrivalMsg{ID: id, Name: d.Name, WaitedMs: waited, Delegation: &d})
}

// cancelDelegationsFrom cancels the requests that a VM delegated, after its stream broke.
func (g *Gateway) cancelDelegationsFrom(from string) {
	for key, id := range g.delegations {
		if key.from == from {
			g.removeCall(id)
			g.stepRelay(relay.CallerDisconnectedMsg{ID: id})
		}
	}
}

// removeCall removes a request that was answered or cancelled.
func (g *Gateway) removeCall(id uint64) {
	if pending := g.calls[id]; pending != nil && pending.delegation != nil {
		delete(g.delegations, *pending.delegation)
		g.delegated.Store(int64(len(g.delegations)))
	}
	delete(g.calls, id)
}

// sendPeer sends a message to another VM. An empty address stands for the one in the VM list.
func (g *Gateway) sendPeer(to, address string, body vm.PeerBody) {
	if address == "" {
		address = g.vmList[to].Address
	}
	if !g.mesh.TrySend(to, address, clock.Timestamp{}, body) {
		g.defers(loopMsg{peer: &peerEvent{vm: to, body: body, unsent: true}})
	}
}

// setVM stores the entry of a VM, or removes it if v is nil.
func (g *Gateway) setVM(id string, v *relay.VM) {
	g.vmListChanged = true
	if v == nil {
		delete(g.vmList, id)
	} else {
		g.vmList[id] = *v
	}
}

// observeOwnEntry informs the registrar of this VM's entry in the store; v is nil if it is gone.
func (g *Gateway) observeOwnEntry(ioCtx context.Context, id string, v *relay.VM) {
	if id != g.self.ID || g.stopping.Load() {
		return
	}
	intact := v != nil && v.IsSameProcess(g.self)
	if !intact {
		_ = g.logger.Log("event", "entry_not_intact", "gone", v == nil)
	}
	g.stepRegistrar(ioCtx, roster.EntryMsg{Intact: intact})
}

// applyVMList passes the VM list to the state machines.
func (g *Gateway) applyVMList(ioCtx context.Context) {
	list := make([]relay.VM, 0, len(g.vmList))
	for _, v := range g.vmList {
		list = append(list, v)
	}
	g.stepRelay(relay.FleetMsg{VMs: list})
	g.postQuota(quota.FleetMsg{VMs: quotaVMs(list)})
	g.stepEra(ioCtx, era.FleetMsg{VMs: len(list), Rank: g.rank()})
	publishers, mayPublish := catalog.Publishers(g.self.ID, g.publisherCandidates(list))
	g.stepCatalog(ioCtx, catalog.PublishersMsg{VMs: publishers, MayPublish: mayPublish})
}

// publisherCandidates returns the VMs of this VM's data centre. They choose publishers
// among themselves, which read the store and publish its changes to the others. One set
// of publishers for all data centres would need fewer store calls, but would send each
// configuration across data centres once for each VM.
func (g *Gateway) publisherCandidates(list []relay.VM) []catalog.Member {
	var members []catalog.Member
	for _, v := range list {
		if v.DataCentre == g.self.DataCentre {
			members = append(members, catalog.Member{ID: v.ID, Capacity: v.CPUMilli})
		}
	}
	return members
}

// stepRegistrar passes msg to the registrar, and starts the store calls that it asks for.
func (g *Gateway) stepRegistrar(ioCtx context.Context, msg roster.RegistrarMsg) {
	if f, ok := msg.(roster.FailedMsg); ok && f.Kind == store.KindUnknown {
		// The store has not answered this VM, so a pending watch may never return.
		g.watcher.Reconnect()
	}
	self := g.self
	self.ConfigVersion, self.PresetRevision = g.relayModel.Version(), g.presetRevision
	for _, cmd := range g.registrar.Update(g.clock.Now(), msg) {
		go func() {
			var result roster.RegistrarMsg = roster.FailedMsg{Kind: store.KindUnknown}
			defer func() { g.post(loopMsg{registrar: result}) }()
			defer g.recovered("lease call")
			result = g.callLeases(ioCtx, self, cmd)
			g.postEra()
		}()
	}
}

// callLeases makes one store call for the registrar and returns its result. self is the
// entry of this VM.
func (g *Gateway) callLeases(ctx context.Context, self relay.VM, cmd roster.RegistrarCmd) roster.RegistrarMsg {
	var err error
	var msg roster.RegistrarMsg
	switch c := cmd.(type) {
	case roster.GrantCmd:
		var l store.Lease
		l, err = g.grantLease(ctx, "vm", c.TTL)
		msg = roster.GrantedMsg{Lease: l.ID, TTL: l.TTL}
	case roster.WriteCmd:
		var value []byte
		if value, err = json.Marshal(self); err == nil {
			err = g.leases.Put(ctx, g.decoder.VMKey(self.ID), value, c.Lease)
		}
		msg = roster.WrittenMsg{}
	case roster.RenewCmd:
		var ttl clock.Millis
		ttl, err = g.leases.KeepAlive(ctx, c.Lease)
		msg = roster.RenewedMsg{TTL: store.CountedTTL(roster.LeaseTTL, ttl)}
	case roster.RevokeCmd:
		err = g.leases.Revoke(ctx, c.Lease)
		msg = roster.RenewedMsg{}
	}
	if err == nil {
		return msg
	}
	_ = g.logger.Log("event", "registration_failed", "err", err)
	return roster.FailedMsg{Kind: store.KindOf(err)}
}

// grantLease asks for a lease. The one that it returns has the time to live that counts, 0 if
// the store states none.
func (g *Gateway) grantLease(ctx context.Context, purpose string, ttl clock.Millis) (store.Lease, error) {
	l, err := g.leases.Grant(ctx, ttl)
	if err == nil && l.TTL != ttl {
		_ = g.logger.Log("event", "lease_ttl_differs", "for", purpose, "asked_ms", int64(ttl), "stated_ms", int64(l.TTL))
	}
	l.TTL = store.CountedTTL(ttl, l.TTL)
	return l, err
}
