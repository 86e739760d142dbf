package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// maxBatch bounds the queued messages that the event loop handles before it
// checks its timer again.
const maxBatch = 64

// maxWaitMs bounds the time that an idle event loop waits before it reads the
// clock, so that it notices that the VM was suspended.
const maxWaitMs = clock.Second

// loop is the event loop. It alone updates the state machines, and returns when
// ioCtx is cancelled.
func (g *Gateway) loop(ioCtx context.Context) error {
	defer close(g.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	pauses := clock.NewPauseDetector(g.clock.Now(), clock.System{}.Now(), clock.Boot)
	for {
		timer.Reset(g.timeToWake().Duration())
		select {
		case msg := <-g.inbox:
			g.checkPause(ioCtx, pauses)
			g.handle(ioCtx, msg)
			g.handleQueued(ioCtx)
			g.tick(ioCtx)
			g.handleDeferred(ioCtx)
		case <-timer.C:
			g.checkPause(ioCtx, pauses)
			g.handleQueued(ioCtx)
			g.tick(ioCtx)
			g.handleDeferred(ioCtx)
		case <-ioCtx.Done():
			return nil
		}
	}
}

// checkPause detects that this VM was paused. What has run out meanwhile is ended before
// any message is handled, and what is known is read again.
func (g *Gateway) checkPause(ioCtx context.Context, d *clock.PauseDetector) {
	paused := d.Check(g.clock.Now(), clock.System{}.Now())
	if paused == 0 {
		return
	}
	_ = g.logger.Log("event", "resumed", "paused_ms", int64(paused))
	g.client.CloseAllIdle()
	g.stepRelay(relay.TickMsg{})
	g.stepCatalog(ioCtx, catalog.ResumedMsg{})
	g.stepRegistrar(ioCtx, roster.ResumedMsg{})
	g.stepQuota(ioCtx, quota.ResumedMsg{})
	g.stepEra(ioCtx, era.LostMsg{})
}

// handleQueued handles the messages in the queue, at most maxBatch.
func (g *Gateway) handleQueued(ioCtx context.Context) {
	for range maxBatch {
		select {
		case msg := <-g.inbox:
			g.handle(ioCtx, msg)
		default:
			return
		}
	}
}

func (g *Gateway) handle(ioCtx context.Context, msg loopMsg) {
	defer g.observeStep(time.Now())
	defer g.recoveredState("message")
	g.handleMsg(ioCtx, msg)
	g.handleQuota(ioCtx)
}

// defers queues a message that the event loop has for itself. It must not post it: if the
// inbox is full, the loop would wait for itself.
func (g *Gateway) defers(msg loopMsg) { g.deferred = append(g.deferred, msg) }

// handleDeferred handles the messages that the event loop has for itself. Those that come up
// meanwhile are left for the next time.
func (g *Gateway) handleDeferred(ioCtx context.Context) {
	msgs := g.deferred
	g.deferred = nil
	for _, msg := range msgs {
		g.handle(ioCtx, msg)
	}
}

// observeStep measures a step of the event loop.
func (g *Gateway) observeStep(begin time.Time) {
	g.metrics.loopStep.Observe(time.Since(begin).Seconds())
}

func (g *Gateway) handleMsg(ioCtx context.Context, msg loopMsg) {
	switch {
	case msg.catalog != nil:
		g.stepCatalog(ioCtx, msg.catalog)
	case msg.presets != nil:
		g.setPresets(ioCtx, *msg.presets)
	case msg.restorer != nil:
		g.stepRestorer(ioCtx, msg.restorer)
	case msg.era != nil:
		g.stepEra(ioCtx, msg.era)
	case msg.peer != nil:
		g.handlePeer(ioCtx, msg.peer)
	case msg.registrar != nil:
		g.stepRegistrar(ioCtx, msg.registrar)
	case msg.quota != nil:
		g.stepQuota(ioCtx, msg.quota)
	case msg.explain != nil:
		g.handleExplain(msg.explain)
	case msg.result != nil:
		g.stepRelay(attemptMsg(*msg.result))
	case msg.call != nil:
		arrival := msg.relay.(relay.ArrivalMsg)
		arrival.WaitedMs = g.clock.Now() - msg.at
		g.calls[arrival.ID] = msg.call
		g.stepRelay(arrival)
	default:
		g.stepRelay(msg.relay)
		if disconnected, ok := msg.relay.(relay.CallerDisconnectedMsg); ok {
			g.removeCall(disconnected.ID)
		}
	}
}

// attemptMsg converts the result of an exchange into a message for the relay.
func attemptMsg(r exchange.Result) relay.Msg {
	if r.Err != nil {
		return relay.AttemptFailedMsg{Attempt: r.Attempt, NotSent: !r.Err.Kind().MaybeSent(), Cause: r.Err.Kind().String()}
	}
	reply := r.Reply
	return relay.ReplyMsg{Attempt: r.Attempt, Reply: relay.Reply{
		Status: reply.Status, Receipt: reply.Receipt, Body: reply.Body, NotRun: reply.NotRun,
		WrongUpstream: reply.Status == statusMisdirected, Leaving: reply.Leaving, RetryAfterMs: reply.RetryAfterMs, Header: reply.Fields,
	}}
}

// tick passes a TickMsg to the state machines that have a timer due.
func (g *Gateway) tick(ioCtx context.Context) {
	defer g.observeStep(time.Now())
	defer g.recoveredState("tick")
	now := g.clock.Now()
	if at, ok := g.catalog.NextWake(); ok && at <= now {
		g.stepCatalog(ioCtx, catalog.TickMsg{})
	}
	if at, ok := g.relayModel.NextWake(); ok && at <= now {
		g.stepRelay(relay.TickMsg{})
	}
	if at, ok := g.registrar.NextWake(); ok && at <= now {
		g.stepRegistrar(ioCtx, roster.TickMsg{})
	}
	if at, ok := g.quota.NextWake(); ok && at <= now {
		g.stepQuota(ioCtx, quota.TickMsg{})
	}
	if at, ok := g.restorer.NextWake(); ok && at <= now {
		g.stepRestorer(ioCtx, preset.RestoreTickMsg{})
	}
	if at, ok := g.eraGuard.NextWake(); ok && at <= now {
		g.stepEra(ioCtx, era.TickMsg{})
	}
	g.handleQuota(ioCtx)
	g.publishPlacing(now)
}

// timeToWake returns the time until the next wake-up of a state machine, at most maxWaitMs.
func (g *Gateway) timeToWake() clock.Millis {
	if len(g.deferred) > 0 {
		return 0
	}
	now := g.clock.Now()
	wait := maxWaitMs
	if at, ok := g.relayModel.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.registrar.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.catalog.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.quota.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.restorer.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if at, ok := g.eraGuard.NextWake(); ok {
		wait = min(wait, at-now)
	}
	return max(wait, 0)
}

// stepRelay passes msg to the relay's state machine and performs the commands that it returns.
func (g *Gateway) stepRelay(msg relay.Msg) {
	g.updatedAt = g.clock.Now()
	for _, cmd := range g.updateRelay(g.updatedAt, msg) {
		g.performSafely(cmd)
	}
}

func (g *Gateway) perform(cmd relay.Cmd) {
	switch c := cmd.(type) {
	case relay.SendCmd:
		g.metrics.attempts.Inc()
		pending := g.calls[c.Request]
		if pending == nil {
			g.defers(loopMsg{relay: relay.AttemptFailedMsg{Attempt: c.Attempt, NotSent: true, Cause: "no_request"}})
			return
		}
		g.client.Send(exchange.Call{
			Attempt: c.Attempt, Upstream: c.Upstream, Address: c.Address, Request: pending.request,
			RemainingMs: c.RemainingMs, NonIdempotent: c.NonIdempotent, NeedHeader: !c.Gather, Customer: c.Customer,
		})
	case relay.CancelCmd:
		g.client.Cancel(c.Attempt)
	case relay.AnswerCmd:
		g.answer(c)
	case relay.PartialResultCmd:
		if pending := g.calls[c.ID]; pending != nil && pending.delegation != nil {
			g.sendPeer(pending.delegation.from, "", relay.DelegationResult{ID: pending.delegation.id, Answer: c.Answer, Partial: true, ExpectedMs: c.ExpectedMs, Throttled: c.Throttled})
		}
	case relay.AckDelegationCmd:
		if pending := g.calls[c.ID]; pending != nil && pending.delegation != nil {
			g.sendPeer(pending.delegation.from, "", relay.DelegationAck{ID: pending.delegation.id})
		}
	case relay.DelegateCmd:
		g.metrics.delegations.Inc()
		if len(c.Delegation.Services) > 0 {
			pending := g.calls[c.Request]
			c.Delegation.Head, c.Delegation.Body = pending.request.Head(), pending.request.Body()
		}
		g.sendPeer(c.To, c.Address, c.Delegation)
	case relay.CancelDelegationCmd:
		g.sendPeer(c.To, "", relay.DelegationCancel{ID: c.ID})
	case relay.CreditCmd:
		g.postQuota(quota.AcquireMsg{Request: c.Request, Limit: c.Limit})
	case relay.CancelCreditCmd:
		g.postQuota(quota.CancelMsg{Request: c.Request})
	case relay.ReturnCreditCmd:
		g.postQuota(quota.ReturnMsg{Customer: c.Customer})
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

// answer passes an answer to the caller, or to the VM that delegated the request.
func (g *Gateway) answer(c relay.AnswerCmd) {
	pending := g.calls[c.ID]
	if pending == nil {
		return
	}
	g.removeCall(c.ID)
	if pending.delegation != nil {
		g.sendPeer(pending.delegation.from, "", relay.DelegationResult{ID: pending.delegation.id, Answer: c.Answer, ExpectedMs: c.ExpectedMs, Throttled: c.Throttled})
		return
	}
	g.metrics.observe(c.Answer)
	pending.decidedAt = g.updatedAt
	pending.answer <- c.Answer
}

// stepCatalog passes msg to the catalog's state machine and performs the commands that it returns.
func (g *Gateway) stepCatalog(ioCtx context.Context, msg catalog.Msg) {
	for _, cmd := range g.catalog.Update(g.clock.Now(), msg) {
		switch c := cmd.(type) {
		case catalog.ListCmd:
			go func() { g.callStore(&c, func() (catalog.Msg, error) { return g.listPage(ioCtx, c) }) }()
		case catalog.WatchCmd:
			go func() { g.callStore(nil, func() (catalog.Msg, error) { return g.watch(ioCtx, c) }) }()
		case catalog.SubscribeCmd:
			g.sendPeer(c.To, "", c.Subscribe)
		case catalog.PublishCmd:
			var body vm.PeerBody = c.Update
			if c.Compressed {
				body = peer.Compress(c.Update)
			}
			for _, to := range c.To {
				g.sendPeer(to, "", body)
			}
		case catalog.PublisherCmd:
			_ = g.logger.Log("event", "catalog_feeder", "feeder", c.VM)
			g.stepRegistrar(ioCtx, roster.SubscriptionMsg{Subscribed: c.VM != ""})
		case catalog.PutCmd:
			g.addChange(ioCtx, g.decodeChange(c.Item, c.Era, c.Returned))
		case catalog.DeleteCmd:
			g.addChange(ioCtx, change{item: store.Item{Key: c.Key, Removed: true}, era: c.Era})
		case catalog.EraCmd:
			g.enterEra(ioCtx, c)
		case catalog.ListReadCmd:
			_ = g.logger.Log("event", "store_list_read", "complete", c.Complete, "pages", c.Pages, "duration_ms", c.DurationMs)
		case catalog.StoreStatusCmd:
			_ = g.logger.Log("event", "store_contact", "reached", c.Reachable, "cause", c.Kind)
			if c.Reachable {
				g.stepRegistrar(ioCtx, roster.ResumedMsg{})
			} else {
				g.stepEra(ioCtx, era.LostMsg{})
			}
		}
	}
	g.stepEra(ioCtx, era.ReadMsg{BegunAt: g.catalog.ConfirmedAt(), ContactSince: g.catalog.ContactSince()})
	if g.mayApply() {
		g.applyItems(ioCtx)
	} else {
		g.confirmSettled(ioCtx)
	}
	if g.vmListChanged {
		g.vmListChanged = false
		g.applyVMList(ioCtx)
	}
	if g.stopping.Load() {
		return
	}
	if ready := g.relayModel.Ready(); ready != g.ready.Swap(ready) && ready {
		g.stepRegistrar(ioCtx, roster.ReadyMsg{})
	}
}

// isSuperseded reports whether only the newest value of a key counts. All reports of an
// upstream count: one that says that it leaves holds although a later one does not.
func (g *Gateway) isSuperseded(key string) bool {
	_, ok := g.decoder.UpstreamID(key)
	return !ok
}

// addChange records a change that is not in force yet. A VM that starts may read for a minute
// while configurations follow each other, so it drops those that a newer one replaces.
func (g *Gateway) addChange(ioCtx context.Context, c change) {
	if t := c.decoded.Table; t != nil {
		g.unapplied = slices.DeleteFunc(g.unapplied, func(old change) bool {
			return old.decoded.Table != nil && old.decoded.Table.Version() <= t.Version()
		})
	}
	g.unapplied = append(g.unapplied, c)
	g.observeChange(ioCtx, c)
}

// applyItems applies the changes that the catalog has reported.
func (g *Gateway) applyItems(ioCtx context.Context) {
	items := g.unapplied
	g.unapplied = nil
	for _, c := range items {
		if c.item.Removed {
			g.applyRemoval(ioCtx, c.item.Key, c.era)
		} else {
			g.applyItem(ioCtx, c)
		}
	}
}

func (g *Gateway) applyRemoval(ioCtx context.Context, key string, era uint64) {
	if id, ok := g.decoder.UpstreamID(key); ok {
		g.stepRelay(relay.UpstreamRemovedMsg{ID: id, Era: era})
	}
	if id, ok := g.decoder.VMID(key); ok {
		g.setVM(id, nil)
		g.observeOwnEntry(ioCtx, id, nil)
	}
	if g.decoder.IsPresets(key) {
		g.stepRestorer(ioCtx, preset.StoredMsg{Rank: g.rank()})
	}
	if dataCentre, ok := g.decoder.EvacuatedDataCentre(key); ok {
		g.setEvacuation(dataCentre, false)
	}
	g.applyClaim(key, 0, quota.Claim{})
}

// setEvacuation starts or ends the evacuation of a data centre.
func (g *Gateway) setEvacuation(dataCentre string, active bool) {
	g.stepRelay(relay.EvacuationMsg{DataCentre: dataCentre, Active: active})
	g.metrics.evacuated.Set(float64(len(g.relayModel.Evacuated())))
}

// decodeItem decodes an item. A panic of the decoder is an error.
func (g *Gateway) decodeItem(item store.Item) (d DecodedItem, err error) {
	defer func() {
		if v := recover(); v != nil {
			g.reportPanic("item "+item.Key, v)
			err = &Error{op: "item", kind: KindPanic, err: fmt.Errorf("%v", v)}
		}
	}()
	return g.decoder.Decode(item)
}

// applyItem applies an item of the store. If the item of an upstream cannot be
// decoded, the upstream is removed. Other undecodable items change nothing.
func (g *Gateway) applyItem(ioCtx context.Context, c change) {
	item, decoded := c.item, c.decoded
	if c.err != nil {
		g.metrics.skippedItems.Inc()
		_ = g.logger.Log("event", "item_skipped", "key", item.Key, "revision", item.Revision, "err", shorten(c.err))
		if id, ok := g.decoder.UpstreamID(item.Key); ok {
			g.stepRelay(relay.UpstreamRemovedMsg{ID: id, Era: c.era})
		}
		return
	}
	switch {
	case decoded.Table != nil:
		g.stepRelay(relay.TableMsg{Table: decoded.Table})
		if t := g.table.Load(); t == nil || t.Version() < decoded.Table.Version() {
			g.table.Store(decoded.Table)
			g.setLimited(decoded.Table)
		}
	case decoded.Presets != nil:
		g.setPresets(ioCtx, *decoded.Presets)
		g.stepRestorer(ioCtx, preset.StoredMsg{Revision: decoded.Presets.Revision, Rank: g.rank()})
	case decoded.VM != nil:
		if id, ok := g.decoder.VMID(item.Key); ok && id == decoded.VM.ID {
			g.setVM(id, decoded.VM)
			g.observeOwnEntry(ioCtx, id, decoded.VM)
		}
	case decoded.Claim != nil:
		g.applyClaim(item.Key, item.Revision, *decoded.Claim)
	case decoded.Evacuated != "":
		g.setEvacuation(decoded.Evacuated, true)
	case decoded.Upstream != nil:
		g.stepRelay(relay.UpstreamMsg{Upstream: *decoded.Upstream, Era: c.era, Revision: item.Revision, Returned: c.returned})
	}
}

// callStore makes a store call of the catalog and posts its result. A panic is a failed call.
func (g *Gateway) callStore(page *catalog.ListCmd, call func() (catalog.Msg, error)) {
	var msg catalog.Msg = catalog.FailedMsg{Kind: store.KindUnknown, Page: page}
	defer func() { g.post(loopMsg{catalog: msg}) }()
	defer g.recovered("store call")
	result, err := call()
	if err != nil {
		_ = g.logger.Log("event", "store_call_failed", "err", err)
		result = catalog.FailedMsg{Kind: store.KindOf(err), Page: page}
	}
	msg = result
	g.postEra()
}

func (g *Gateway) listPage(ctx context.Context, c catalog.ListCmd) (catalog.Msg, error) {
	page, err := g.watcher.ListPage(ctx, store.PageRequest{
		Prefix: c.Prefix, After: c.After, Stale: c.AllowStale, Timeout: c.TimeoutMs,
		Begun: func() { g.post(loopMsg{catalog: catalog.PageBegunMsg{Page: c}}) },
	})
	if err != nil {
		return nil, err
	}
	g.reportSkipped(page.Batch)
	return catalog.ListedMsg{Page: c, Batch: page.Batch, Next: page.Next}, nil
}

func (g *Gateway) watch(ctx context.Context, c catalog.WatchCmd) (catalog.Msg, error) {
	// One watch of all keys costs a third of the calls of separate ones for the configuration,
	// the upstreams and the VMs.
	batch, err := g.watcher.WatchPrefix(ctx, "", c.After, c.WaitMs, c.SlackMs)
	if err != nil {
		return nil, err
	}
	g.reportSkipped(batch)
	return catalog.WatchedMsg{Batch: batch}, nil
}

// reportSkipped logs and counts the items that a store call left out.
func (g *Gateway) reportSkipped(b store.Batch) {
	if b.EraErr != nil {
		g.metrics.skippedItems.Inc()
		_ = g.logger.Log("event", "store_era_skipped", "err", shorten(b.EraErr))
	}
	if b.Skipped > 0 {
		g.metrics.skippedItems.Add(float64(b.Skipped))
		_ = g.logger.Log("event", "items_skipped", "count", b.Skipped, "revision", b.Revision)
	}
}

// maxErrorBytes bounds the text of an error in a log line. It may quote what another
// program wrote.
const maxErrorBytes = 300

func shorten(err error) string {
	text := err.Error()
	return text[:min(len(text), maxErrorBytes)]
}

func (g *Gateway) logEvent(ev relay.Event) {
	g.metrics.events.WithLabelValues(ev.Kind).Inc()
	fields := []any{"event", ev.Kind, "request", ev.Request, "route", ev.Route, "upstream", ev.Upstream,
		"version", ev.Version, "age_ms", int64(ev.AgeMs), "detail", ev.Detail}
	if ev.Customer != "" {
		fields = append(fields, "customer", ev.Customer)
	}
	if ev.Cause != "" {
		fields = append(fields, "cause", ev.Cause)
	}
	_ = g.logger.Log(fields...)
}
