package gateway

import (
	"context"
	"time"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

// batchLen is how many waiting messages the loop handles before it looks at
// its timer again.
const batchLen = 64

// idleWakeMs is how often an idle loop looks at the clock, to notice that the
// VM was suspended.
const idleWakeMs = clock.Second

// loop owns the state machines. It ends with io.
func (g *Gateway) loop(io context.Context) error {
	defer close(g.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(g.nextWake().Duration())
		select {
		case it := <-g.inbox:
			g.accept(io, it)
			g.acceptWaiting(io)
		case <-timer.C:
			g.tick(io)
		case <-io.Done():
			return nil
		}
	}
}

func (g *Gateway) acceptWaiting(io context.Context) {
	for range batchLen {
		select {
		case it := <-g.inbox:
			g.accept(io, it)
		default:
			return
		}
	}
}

func (g *Gateway) accept(io context.Context, it item) {
	switch {
	case it.catalog != nil:
		g.stepCatalog(io, it.catalog)
	case it.presets != nil:
		g.setPresets(*it.presets)
	case it.peer != nil:
		g.acceptPeer(io, it.peer)
	case it.roster != nil:
		g.stepRegister(io, it.roster)
	case it.result != nil:
		g.step(resultMsg(*it.result))
	case it.call != nil:
		arrive := it.relay.(relay.ArrivalMsg)
		g.waiters[arrive.ID] = it.call
		g.step(arrive)
	default:
		g.step(it.relay)
		if gone, ok := it.relay.(relay.CallerDisconnectedMsg); ok {
			g.forgetCall(gone.ID)
		}
	}
}

// resultMsg turns the end of an exchange into a message.
func resultMsg(r exchange.Result) relay.Msg {
	if r.Err != nil {
		return relay.AttemptFailedMsg{Attempt: r.Attempt, NotSent: !r.Err.Kind().MaybeSent(), Cause: r.Err.Kind().String()}
	}
	rep := r.Reply
	return relay.ReplyMsg{Attempt: r.Attempt, Reply: relay.Reply{
		Status: rep.Status, Receipt: rep.Receipt, Body: rep.Body, NotRun: rep.NotRun,
		WrongUpstream: rep.Status == statusMisdirected, Leaving: rep.CloseConn, Header: rep.Fields,
	}}
}

func (g *Gateway) tick(io context.Context) {
	now := g.clock.Now()
	if at, ok := g.catalog.NextWake(); ok && at <= now {
		g.stepCatalog(io, catalog.TickMsg{})
	}
	if at, ok := g.core.NextWake(); ok && at <= now {
		g.step(relay.TickMsg{})
	}
	if at, ok := g.register.NextWake(); ok && at <= now {
		g.stepRegister(io, roster.TickMsg{})
	}
}

// nextWake returns how long the loop may wait.
func (g *Gateway) nextWake() clock.Millis {
	now := g.clock.Now()
	wait := idleWakeMs
	if at, ok := g.core.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.register.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.catalog.NextWake(); ok {
		wait = min(wait, at-now)
	}
	return max(wait, 0)
}

// step updates the relay and performs its commands.
func (g *Gateway) step(msg relay.Msg) {
	for _, cmd := range g.core.Update(g.clock.Now(), msg) {
		g.perform(cmd)
	}
}

func (g *Gateway) perform(cmd relay.Cmd) {
	switch c := cmd.(type) {
	case relay.SendCmd:
		g.metrics.sent.Inc()
		w := g.waiters[c.Request]
		if w == nil {
			g.post(item{relay: relay.AttemptFailedMsg{Attempt: c.Attempt, NotSent: true, Cause: "no_request"}})
			return
		}
		g.client.Send(exchange.Call{
			Attempt: c.Attempt, Upstream: c.Upstream, Address: c.Address, Request: w.request,
			RemainingMs: c.RemainingMs, NonIdempotent: c.NonIdempotent, NeedHeader: !c.Gather,
		})
	case relay.CancelCmd:
		g.client.Cancel(c.Attempt)
	case relay.AnswerCmd:
		g.answer(c)
	case relay.PartialResultCmd:
		if w := g.waiters[c.ID]; w != nil && w.handed != nil {
			g.tell(w.handed.from, "", relay.DelegationResult{ID: w.handed.id, Answer: c.Answer, Partial: true, ExpectedMs: c.ExpectedMs})
		}
	case relay.AckDelegationCmd:
		if w := g.waiters[c.ID]; w != nil && w.handed != nil {
			g.tell(w.handed.from, "", relay.DelegationAck{ID: w.handed.id})
		}
	case relay.DelegateCmd:
		g.metrics.handed.Inc()
		w := g.waiters[c.Request]
		c.Delegation.Head, c.Delegation.Body = w.request.Head(), w.request.Body()
		g.tell(c.To, c.Address, c.Delegation)
	case relay.CancelDelegationCmd:
		g.tell(c.To, "", relay.DelegationCancel{ID: c.ID})
	case relay.ConnectPeerCmd:
		g.mesh.Connect(c.VM, c.Address)
	case relay.ConnectUpstreamCmd:
		g.client.Connect(c.Upstream, c.Address)
	case relay.CloseIdleCmd:
		g.client.CloseIdle(c.Upstream)
	case relay.EventCmd:
		g.logEvent(c.Event)
	}
}

// answer passes an answer to the caller, or to the VM that handed the request over.
func (g *Gateway) answer(c relay.AnswerCmd) {
	w := g.waiters[c.ID]
	if w == nil {
		return
	}
	g.forgetCall(c.ID)
	if w.handed != nil {
		g.tell(w.handed.from, "", relay.DelegationResult{ID: w.handed.id, Answer: c.Answer, ExpectedMs: c.ExpectedMs})
		return
	}
	g.metrics.answered(c.Answer)
	w.answer <- c.Answer
}

// stepCatalog updates the catalog and performs its commands.
func (g *Gateway) stepCatalog(io context.Context, msg catalog.Msg) {
	for _, cmd := range g.catalog.Update(g.clock.Now(), msg) {
		switch c := cmd.(type) {
		case catalog.ListCmd:
			go func() { g.list(io, c.AllowStale) }()
		case catalog.WatchCmd:
			go func() { g.follow(io, c) }()
		case catalog.SubscribeCmd:
			g.tell(c.To, "", c.Subscribe)
		case catalog.PublishCmd:
			for _, to := range c.To {
				g.tell(to, "", c.Update)
			}
		case catalog.PublisherCmd:
			_ = g.logger.Log("event", "catalog_feeder", "feeder", c.VM)
			g.stepRegister(io, roster.SubscriptionMsg{Subscribed: c.VM != ""})
		case catalog.PutCmd:
			g.put(c.Item)
		case catalog.DeleteCmd:
			if id, ok := g.translator.UpstreamID(c.Key); ok {
				g.step(relay.UpstreamRemovedMsg{ID: id})
			}
			if id, ok := g.translator.VMID(c.Key); ok {
				g.setVM(id, nil)
			}
		case catalog.StoreStatusCmd:
			_ = g.logger.Log("event", "store_contact", "reached", c.Reachable, "cause", c.Kind)
		}
	}
	if g.listNew {
		g.listNew = false
		g.setFleet(io)
	}
	if g.stopping.Load() {
		return
	}
	if ready := g.core.Ready(); ready != g.ready.Swap(ready) && ready {
		g.stepRegister(io, roster.ReadyMsg{})
	}
}

// put applies an item. One that cannot be decoded names no upstream, and
// leaves the configuration as it is.
func (g *Gateway) put(it store.Item) {
	change, err := g.translator.Decode(it)
	if err != nil {
		_ = g.logger.Log("event", "item_skipped", "key", it.Key, "revision", it.Revision, "err", err)
		if id, ok := g.translator.UpstreamID(it.Key); ok {
			g.step(relay.UpstreamRemovedMsg{ID: id})
		}
		return
	}
	switch {
	case change.Table != nil:
		g.step(relay.TableMsg{Table: change.Table})
		if t := g.table.Load(); t == nil || t.Version() < change.Table.Version() {
			g.table.Store(change.Table)
		}
	case change.Presets != nil:
		g.setPresets(*change.Presets)
	case change.VM != nil:
		if id, ok := g.translator.VMID(it.Key); ok && id == change.VM.ID {
			g.setVM(id, change.VM)
		}
	case change.Upstream != nil:
		g.step(relay.UpstreamMsg{Upstream: *change.Upstream})
	}
}

func (g *Gateway) list(ctx context.Context, stale bool) {
	batch, err := g.feed.ListPrefix(ctx, g.translator.Prefix(), stale)
	if err != nil {
		g.post(item{catalog: g.failedCall(err)})
		return
	}
	g.post(item{catalog: catalog.ListedMsg{Batch: batch}})
}

func (g *Gateway) follow(ctx context.Context, c catalog.WatchCmd) {
	batch, err := g.feed.WatchPrefix(ctx, g.translator.Prefix(), c.After, c.WaitMs)
	if err != nil {
		g.post(item{catalog: g.failedCall(err)})
		return
	}
	g.post(item{catalog: catalog.WatchedMsg{Batch: batch}})
}

// failedCall logs a call of the catalog that failed.
func (g *Gateway) failedCall(err error) catalog.FailedMsg {
	_ = g.logger.Log("event", "store_call_failed", "err", err)
	return catalog.FailedMsg{Kind: store.KindOf(err)}
}

func (g *Gateway) logEvent(ev relay.Event) {
	g.metrics.events.WithLabelValues(ev.Kind).Inc()
	_ = g.logger.Log("event", ev.Kind, "request", ev.Request, "route", ev.Route, "upstream", ev.Upstream,
		"version", ev.Version, "age_ms", int64(ev.AgeMs), "detail", ev.Detail)
}
