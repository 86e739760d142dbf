package gateway

import (
	"context"
	"time"

	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// restoreCallTimeout bounds one store call of the restorer.
const restoreCallTimeout = 2 * time.Second

// rank returns the place of this VM in the VM list, in the order of the IDs.
func (g *Gateway) rank() int {
	rank := 0
	for id := range g.vmList {
		if id < g.self.ID {
			rank++
		}
	}
	return rank
}

// stepRestorer passes msg to the restorer of the preset record and performs its commands.
func (g *Gateway) stepRestorer(ioCtx context.Context, msg preset.RestorerMsg) {
	if g.store == nil {
		return
	}
	for _, cmd := range g.restorer.Update(g.clock.Now(), msg) {
		switch c := cmd.(type) {
		case preset.RestoreCallCmd:
			go func() {
				reply := store.Reply{Tag: c.Request.Tag, Op: c.Request.Op, Kind: store.KindUnknown}
				defer func() { g.post(loopMsg{restorer: preset.RestoreReplyMsg{Reply: reply}}) }()
				defer g.recovered("preset restore")
				reply.Entry, reply.Kind = g.callRestore(ioCtx, c.Request)
				g.postEra()
			}()
		case preset.RestoredCmd:
			g.metrics.events.WithLabelValues("preset_restored").Inc()
			_ = g.logger.Log("event", "preset_restored", "preset", c.Record.InForce, "revision", c.Record.Revision)
		}
	}
}

// callRestore makes one store call for the restorer.
func (g *Gateway) callRestore(ioCtx context.Context, req store.Request) (store.Entry, store.Kind) {
	ctx, cancel := context.WithTimeout(ioCtx, restoreCallTimeout)
	defer cancel()
	var e store.Entry
	var err error
	if req.Op == store.OpSwap {
		e, err = g.store.Swap(ctx, req.Key, req.Value, req.Revision)
	} else {
		e, err = g.store.Get(ctx, req.Key)
	}
	return e, store.KindOf(err)
}
