package entry

import (
	"context"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// perform executes one command. Blocking calls run in goroutines, which post their
// result to the event loop.
func (v *VM) perform(ioCtx context.Context, cmd vm.Cmd) {
	switch c := cmd.(type) {
	case vm.AnswerQueryCmd:
		v.metrics.observeQuery(c.Answer)
		v.deliverAnswer(c.CallID, c)
	case vm.AnswerOrderCmd:
		v.metrics.observeOrder(c.Answer)
		v.deliverAnswer(c.CallID, c)
	case vm.DispatchCmd:
		v.dispatchAttempt(ioCtx, c.Request)
	case vm.AbortCmd:
		go v.abort(ioCtx, c)
	case vm.ConnectionLimitCmd:
		v.upstreams.SetConnectionLimit(c.Upstream, c.Connections)
	case vm.PollLoadCmd:
		go v.pollLoad(ioCtx, c.Upstream)
	case vm.StoreCmd:
		go v.callStore(ioCtx, c.Request)
	case vm.SendPeerCmd:
		v.mesh.Send(c.To, c.Address, c.Timestamp, c.Body)
	case vm.EventCmd:
		v.logEvent(c.Event)
		v.metrics.countEvent(c.Event.Kind)
	}
}

func (v *VM) deliverAnswer(callID uint64, cmd vm.Cmd) {
	if ch, ok := v.waiters[callID]; ok {
		delete(v.waiters, callID)
		ch <- cmd // does not block: the channel is buffered for its one answer
	}
}

// abort sends a cancel request to the upstream. The call that sent the attempt
// still returns its reply.
func (v *VM) abort(ioCtx context.Context, cmd vm.AbortCmd) {
	if err := v.upstreams.Cancel(ioCtx, upstream.ID(cmd.Upstream), cmd.ID); err != nil {
		_ = v.logger.Log("event", "cancel_failed", "upstream", cmd.Upstream, "attempt", cmd.ID, "err", err)
	}
}

func (v *VM) pollLoad(ioCtx context.Context, id upstream.ID) {
	load, err := v.upstreams.Load(ioCtx, id)
	v.post(vm.LoadMsg{Upstream: id, Load: load, OK: err == nil})
}

func (v *VM) callStore(ioCtx context.Context, req store.Request) {
	v.post(vm.StoreMsg{Reply: callStore(ioCtx, v.store, req)})
}

// callStore executes one store request and classifies its error.
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

// vmListInterval is the interval between reads of the VM list. Shorter intervals
// do not help, because the list itself lags behind the fleet.
const vmListInterval = clock.Second

// pollVMList reads the VM list periodically until ctx is cancelled.
func (v *VM) pollVMList(ctx context.Context) error {
	ticker := time.NewTicker(vmListInterval.Duration())
	defer ticker.Stop()
	for {
		if list, err := v.vmList.VMs(ctx); err == nil {
			v.post(vm.ListedVMsMsg{VMs: convertVMList(list)})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// meshHandler converts messages and failures of the streams between VMs into
// messages for the event loop. Admin requests and responses are handled directly.
type meshHandler struct{ v *VM }

// Received handles a message from a peer.
func (h meshHandler) Received(from string, stamp clock.Timestamp, body vm.PeerBody) {
	switch b := body.(type) {
	case vm.AdminRequest:
		h.v.serveAdminRequest(from, b)
	case vm.AdminResponse:
		h.v.adminRequests.resolve(b)
	default:
		h.v.post(vm.PeerMsg{From: from, Timestamp: stamp, Body: body})
	}
}

// Malformed logs a message from a peer that could not be decoded.
func (h meshHandler) Malformed(from string, err error) {
	_ = h.v.logger.Log("event", "message_skipped", "from", from, "err", err)
}

// Unsent handles a message that could not be sent.
func (h meshHandler) Unsent(to string, body vm.PeerBody) {
	if req, ok := body.(vm.AdminRequest); ok {
		h.v.adminRequests.resolve(vm.AdminResponse{ID: req.ID})
		return
	}
	// Mesh.Send may call Unsent from the event loop. Posting from the loop itself
	// would deadlock if the inbox is full.
	go h.v.post(vm.PeerUnsentMsg{To: to, Body: body})
}

// Disconnected handles a broken stream to a peer.
func (h meshHandler) Disconnected(peer string) { h.v.post(vm.PeerDisconnectedMsg{VM: peer}) }
