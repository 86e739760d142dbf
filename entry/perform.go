package entry

import (
	"context"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// perform carries out one command. Calls that take time run in goroutines that
// end with a message to the event loop.
func (v *VM) perform(io context.Context, cmd vm.Cmd) {
	switch m := cmd.(type) {
	case vm.AnswerQueryCmd:
		v.metrics.query(m.Answer)
		v.answer(m.CallID, m)
	case vm.AnswerOrderCmd:
		v.metrics.order(m.Answer)
		v.answer(m.CallID, m)
	case vm.DispatchCmd:
		v.startAttempt(io, m.Request)
	case vm.AbortCmd:
		go v.abort(io, m)
	case vm.ConnectionLimitCmd:
		v.upstreams.SetConnectionLimit(m.Upstream, m.Connections)
	case vm.PollLoadCmd:
		go v.pollLoad(io, m.Upstream)
	case vm.StoreCmd:
		go v.callStore(io, m.Request)
	case vm.SendPeerCmd:
		v.sendPeer(m)
	case vm.EventCmd:
		v.logEvent(m.Event)
		v.metrics.event(m.Event.Kind)
	}
}

func (v *VM) answer(call uint64, cmd vm.Cmd) {
	if ch, ok := v.waiters[call]; ok {
		delete(v.waiters, call)
		ch <- cmd // has room for the one answer
	}
}

func (v *VM) sendPeer(m vm.SendPeerCmd) {
	if m.Address == "" {
		v.requeued = append(v.requeued, vm.PeerUnsentMsg{To: m.To, Body: m.Body})
		return
	}
	v.mesh.Send(m.To, m.Address, m.Stamp, m.Body)
}

// abort asks the upstream to stop. The reply to the attempt itself ends it.
func (v *VM) abort(io context.Context, m vm.AbortCmd) {
	if err := v.upstreams.Cancel(io, upstream.ID(m.Upstream), m.ID); err != nil {
		_ = v.logger.Log("event", "cancel_failed", "upstream", m.Upstream, "attempt", m.ID, "err", err)
	}
}

func (v *VM) pollLoad(io context.Context, id upstream.ID) {
	load, err := v.upstreams.Load(io, id)
	v.post(vm.LoadMsg{Upstream: id, Load: load, OK: err == nil})
}

func (v *VM) callStore(io context.Context, req store.Request) {
	v.post(vm.StoreMsg{Reply: callStore(io, v.store, req)})
}

// callStore performs one call and turns its error into a kind.
func callStore(ctx context.Context, s store.Store, req store.Request) store.Reply {
	reply := store.Reply{Requester: req.Requester, Tag: req.Tag, Op: req.Op}
	var err error
	switch req.Op {
	case store.OpGet:
		reply.Entry, err = s.Get(ctx, req.Key)
	case store.OpSwap:
		reply.Entry, err = s.Swap(ctx, req.Key, req.Value, req.Revision)
	case store.OpDelete:
		err = s.Delete(ctx, req.Key, req.Revision)
	case store.OpWatch:
		reply.Entry, err = s.Watch(ctx, req.Key, req.Revision)
	}
	reply.Kind = store.KindOf(err)
	return reply
}

// rosterInterval is how often the VM list is read. The list lags anyway.
const rosterInterval = clock.Second

// pollRoster reads the VM list until ctx ends.
func (v *VM) pollRoster(ctx context.Context) error {
	ticker := time.NewTicker(rosterInterval.Duration())
	defer ticker.Stop()
	for {
		if list, err := v.roster.VMs(ctx); err == nil {
			v.post(vm.ListedVMsMsg{VMs: convertRoster(list)})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// meshHandler turns what happens on the streams into messages.
type meshHandler struct{ v *VM }

// Received delivers a message from a peer.
func (h meshHandler) Received(from string, stamp clock.Timestamp, body vm.PeerBody) {
	switch b := body.(type) {
	case vm.AdminRequest:
		h.v.answerPeer(from, b)
	case vm.AdminResponse:
		h.v.told.resolve(b)
	default:
		h.v.post(vm.PeerMsg{From: from, Stamp: stamp, Body: body})
	}
}

// Unsent reports a message that never left.
func (h meshHandler) Unsent(to string, body vm.PeerBody) {
	if q, ok := body.(vm.AdminRequest); ok {
		h.v.told.resolve(vm.AdminResponse{ID: q.ID})
		return
	}
	// Send may call this from the event loop, which must not wait for itself.
	go h.v.post(vm.PeerUnsentMsg{To: to, Body: body})
}

// Disconnected reports a broken stream.
func (h meshHandler) Disconnected(peer string) { h.v.post(vm.PeerDisconnectedMsg{VM: peer}) }
