package gateway

import (
	"context"
	"encoding/json"
	"time"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

// eraCallTimeout bounds the store calls that write the record of the settled era.
const eraCallTimeout = 2 * time.Second

// postEra informs the event loop of a new era of the store, which any reply may state. It is
// called before the result of the call is posted.
func (g *Gateway) postEra() {
	if newest := g.watcher.Era(); newest > g.postedEra.Load() {
		g.postedEra.Store(newest)
		g.post(loopMsg{catalog: catalog.EraMsg{Era: newest}})
	}
}

// enterEra handles the start of an era of the store. If it came back from an older copy,
// this VM's lease and its entry in the VM list are lost and made again, and so may be the
// preset record.
func (g *Gateway) enterEra(ioCtx context.Context, c catalog.EraCmd) {
	g.metrics.storeEra.Set(float64(c.Era))
	g.stepEra(ioCtx, era.NewestMsg{Era: c.Era})
	g.postQuota(quota.EraMsg{Era: c.Era})
	if !c.Returned {
		return
	}
	g.metrics.events.WithLabelValues("store_returned").Inc()
	_ = g.logger.Log("event", "store_returned", "era", c.Era)
	g.stepRegistrar(ioCtx, roster.StoreReturnedMsg{VMs: len(g.vmList)})
	g.stepRestorer(ioCtx, preset.StoreReturnedMsg{Rank: g.rank()})
}

// stepEra passes msg to the guard of eras and starts the writes that it asks for.
func (g *Gateway) stepEra(ioCtx context.Context, msg era.Msg) {
	for _, cmd := range g.eraGuard.Update(g.clock.Now(), msg) {
		if g.store == nil {
			return
		}
		go func() {
			var result era.Msg = era.FailedMsg{}
			defer func() { g.post(loopMsg{era: result}) }()
			defer g.recovered("era record")
			result = g.writeEra(ioCtx, cmd.Record)
			g.postEra()
		}()
	}
	_, settled := g.eraGuard.Era()
	g.metrics.settledEra.Set(float64(settled))
}

// writeEra writes the record of the settled era, unless the store has one of the same era.
func (g *Gateway) writeEra(ioCtx context.Context, rec era.Record) era.Msg {
	ctx, cancel := context.WithTimeout(ioCtx, eraCallTimeout)
	defer cancel()
	e, err := g.store.Get(ctx, era.StoreKey)
	if err == nil {
		var stored era.Record
		if json.Unmarshal(e.Value, &stored) == nil && stored.Era == rec.Era {
			return era.WrittenMsg{Record: stored}
		}
		var value []byte
		if value, err = json.Marshal(rec); err == nil {
			_, err = g.store.Swap(ctx, era.StoreKey, value, e.Revision)
		}
	}
	if err != nil {
		_ = g.logger.Log("event", "era_record_failed", "era", rec.Era, "cause", store.KindOf(err), "err", shorten(err))
		return era.FailedMsg{}
	}
	_ = g.logger.Log("event", "era_settled", "era", rec.Era, "vms", rec.VMs)
	return era.WrittenMsg{Record: rec}
}

// isLeased reports whether VMs write a key under their leases.
func (g *Gateway) isLeased(key string) bool {
	_, ok := g.decoder.VMID(key)
	return ok
}
