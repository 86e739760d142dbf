package gateway

import (
	"context"
	"encoding/json"
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
	"lentillink.example/lentillink/store"
)

// postQuota queues a message for the quota's state machine. It is handled after the message
// of the event loop that is being handled, because what the quota decides goes back to the
// relay, whose commands are then all performed.
func (g *Gateway) postQuota(msg quota.Msg) { g.quotaMsgs = append(g.quotaMsgs, msg) }

// handleQuota handles the queued messages and passes what the quota decides to the relay.
func (g *Gateway) handleQuota(ioCtx context.Context) {
	for len(g.quotaMsgs) > 0 || len(g.credits) > 0 {
		msgs := g.quotaMsgs
		g.quotaMsgs = nil
		for _, msg := range msgs {
			if acquire, ok := msg.(quota.AcquireMsg); ok && g.quota.Take(g.clock.Now(), acquire.Limit.Customer) {
				g.addCredit(relay.CreditMsg{Request: acquire.Request, Granted: true})
				continue
			}
			g.stepQuota(ioCtx, msg)
		}
		credits := g.credits
		g.credits = nil
		for _, msg := range credits {
			g.stepRelay(msg)
		}
	}
}

func (g *Gateway) addCredit(msg relay.CreditMsg) {
	outcome := "no_credit"
	switch {
	case msg.Granted:
		outcome = "granted"
	case msg.OverLimit:
		outcome = "over_limit"
	}
	g.metrics.credit.WithLabelValues(outcome).Inc()
	g.credits = append(g.credits, msg)
}

// stepQuota passes msg to the quota's state machine and performs the commands that it returns.
func (g *Gateway) stepQuota(ioCtx context.Context, msg quota.Msg) {
	for _, cmd := range g.updateQuota(msg) {
		switch c := cmd.(type) {
		case quota.GrantedCmd:
			g.addCredit(relay.CreditMsg{Request: c.Request, Granted: true})
		case quota.RefusedCmd:
			g.addCredit(relay.CreditMsg{Request: c.Request, OverLimit: c.OverLimit, RetryAfterMs: c.RetryAfterMs})
		case quota.AskCmd:
			g.metrics.creditAsks.Inc()
			g.sendPeer(c.To, "", c.Ask)
		case quota.GrantCmd:
			g.countReserve(c.Grant)
			g.sendPeer(c.To, "", c.Grant)
		case quota.EventCmd:
			g.metrics.events.WithLabelValues(c.Event.Kind).Inc()
			g.metrics.ownedGroups.Set(float64(g.quota.OwnedGroups(g.clock.Now())))
			_ = g.logger.Log("event", c.Event.Kind, "group", c.Event.Group, "detail", c.Event.Detail)
		default:
			go func() {
				var result quota.Msg = quota.FailedMsg{Kind: store.KindUnknown}
				defer func() { g.post(loopMsg{quota: result}) }()
				defer g.recovered("quota call")
				result = g.callClaims(ioCtx, cmd)
				g.postEra()
			}()
		}
	}
}

// updateQuota passes msg to the quota's state machine. If that fails, a request that asks
// for credit is refused.
func (g *Gateway) updateQuota(msg quota.Msg) (cmds []quota.Cmd) {
	defer func() {
		if v := recover(); v != nil {
			where := fmt.Sprintf("%T", msg)
			g.reportPanic(where, v)
			g.countPanic(where)
			if acquire, ok := msg.(quota.AcquireMsg); ok {
				cmds = []quota.Cmd{quota.RefusedCmd{Request: acquire.Request}}
			}
		}
	}()
	return g.quota.Update(g.clock.Now(), msg)
}

// countReserve counts the credit that this VM grants as a deputy.
func (g *Gateway) countReserve(grant quota.Grant) {
	for _, e := range grant.Entries {
		if e.Source == quota.SourceReserve {
			g.metrics.reserveCredits.Add(float64(e.Credits))
		}
	}
}

// callClaims makes one store call for the quota and returns its result.
func (g *Gateway) callClaims(ctx context.Context, cmd quota.Cmd) quota.Msg {
	var err error
	var msg quota.Msg
	switch c := cmd.(type) {
	case quota.LeaseCmd:
		var l store.Lease
		l, err = g.grantLease(ctx, "quota", c.TTL)
		msg = quota.LeasedMsg{Lease: l.ID, TTL: l.TTL}
	case quota.ClaimCmd:
		var value []byte
		if value, err = json.Marshal(c.Claim); err == nil {
			err = g.leases.PutIf(ctx, g.decoder.ClaimKey(c.Group), value, c.Claim.Lease, c.Revision)
		}
		msg = quota.ClaimedMsg{}
	case quota.RenewCmd:
		var ttl clock.Millis
		ttl, err = g.leases.KeepAlive(ctx, c.Lease)
		msg = quota.RenewedMsg{TTL: store.CountedTTL(quota.LeaseTTL, ttl)}
	case quota.ReleaseCmd:
		err = g.leases.Revoke(ctx, c.Lease)
		msg = quota.RenewedMsg{}
	}
	if err == nil {
		return msg
	}
	_ = g.logger.Log("event", "quota_call_failed", "err", err)
	return quota.FailedMsg{Kind: store.KindOf(err)}
}

// setLimited sets whether some customer of a configuration has a limit.
func (g *Gateway) setLimited(t *route.Table) {
	limited := false
	for _, c := range t.Customers().All() {
		limited = limited || c.RatePerS > 0
	}
	g.postQuota(quota.LimitedMsg{Limited: limited})
}

// applyClaim passes the claim of a group to the quota; the zero Claim stands for none.
func (g *Gateway) applyClaim(key string, revision uint64, c quota.Claim) {
	if group, ok := g.decoder.ClaimGroup(key); ok {
		g.postQuota(quota.ClaimMsg{Group: group, Claim: c, Revision: revision})
	}
}

// quotaVMs converts the VM list for the quota.
func quotaVMs(list []relay.VM) []quota.VM {
	out := make([]quota.VM, 0, len(list))
	for _, v := range list {
		out = append(out, quota.VM{ID: v.ID, DataCentre: v.DataCentre, CPUMilli: v.CPUMilli})
	}
	return out
}
