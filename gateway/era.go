package gateway

import (
	"context"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

// change is a change of the store's items, with the era in which it was read. returned is
// as in catalog.PutCmd.
type change struct {
	item     store.Item
	era      uint64
	returned bool
}

// postEra informs the event loop of a new era of the store, which any reply may state. It is
// called before the result of the call is posted.
func (g *Gateway) postEra() {
	if era := g.watcher.Era(); era > g.postedEra.Load() {
		g.postedEra.Store(era)
		g.post(loopMsg{catalog: catalog.EraMsg{Era: era}})
	}
}

// enterEra handles the start of an era of the store. If it came back from an older copy,
// this VM's lease and its entry in the VM list are lost and made again, and so may be the
// preset record.
func (g *Gateway) enterEra(ioCtx context.Context, c catalog.EraCmd) {
	g.metrics.storeEra.Set(float64(c.Era))
	g.postQuota(quota.EraMsg{Era: c.Era})
	if !c.Returned {
		return
	}
	g.metrics.events.WithLabelValues("store_returned").Inc()
	_ = g.logger.Log("event", "store_returned", "era", c.Era)
	g.stepRegistrar(ioCtx, roster.StoreReturnedMsg{VMs: len(g.vmList)})
	g.stepRestorer(ioCtx, preset.StoreReturnedMsg{Rank: g.rank()})
}

// isLeased reports whether VMs write a key under their leases.
func (g *Gateway) isLeased(key string) bool {
	_, ok := g.decoder.VMID(key)
	return ok
}
