package gateway

import (
	"context"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/store"
)

// start is the state of a VM that has not used yet what it has read from the store.
type start struct {
	done      bool
	waitOn    era.Wait     // as last logged
	settlesAt clock.Millis // for which the catalog was last asked to confirm
}

// change is a decoded change of the store's items, with the era in which it was read.
// returned is as in catalog.PutCmd.
type change struct {
	item     store.Item // without its value
	decoded  DecodedItem
	err      error // of decoding
	era      uint64
	returned bool
}

// decodeChange decodes an item that the catalog has reported.
func (g *Gateway) decodeChange(item store.Item, era uint64, returned bool) change {
	decoded, err := g.decodeItem(item)
	item.Value = nil
	return change{item: item, decoded: decoded, err: err, era: era, returned: returned}
}

// mayApply reports whether the changes that the catalog has reported may come into force. On
// a VM that starts they may not as long as the store may lack newer ones.
func (g *Gateway) mayApply() bool {
	if g.start.done || !g.catalog.Current() {
		return g.start.done
	}
	wait := g.eraGuard.Wait()
	g.start.done = wait == era.WaitNone
	if wait != g.start.waitOn {
		g.start.waitOn = wait
		newest, settled := g.eraGuard.Era()
		read, ofFleet := g.eraGuard.Known()
		event := "start_waits"
		if g.start.done {
			event = "start_continues"
		}
		g.metrics.events.WithLabelValues(event).Inc()
		_ = g.logger.Log("event", event, "cause", wait, "era", newest, "settled_era", settled,
			"version", read.ConfigVersion, "fleet_version", ofFleet.ConfigVersion,
			"preset_revision", read.PresetRevision, "fleet_preset_revision", ofFleet.PresetRevision)
	}
	return g.start.done
}

// confirmSettled asks the catalog to read the store as soon as that can end this VM's wait for
// the era.
func (g *Gateway) confirmSettled(ioCtx context.Context) {
	at, ok := g.eraGuard.SettlesAt()
	if !ok || g.start.done || at == g.start.settlesAt {
		return
	}
	g.start.settlesAt = at
	g.stepCatalog(ioCtx, catalog.ConfirmMsg{At: at})
}

// observeChange passes to the guard of eras what a change says about the state of the store.
func (g *Gateway) observeChange(ioCtx context.Context, c change) {
	key, d := c.item.Key, c.decoded
	id, isVM := g.decoder.VMID(key)
	switch {
	case c.err != nil: // reported when the item is applied
	case d.Table != nil:
		g.stepEra(ioCtx, era.ConfigMsg{Version: d.Table.Version()})
	case d.Presets != nil:
		g.stepEra(ioCtx, era.PresetMsg{Revision: d.Presets.Revision})
	case d.VM != nil && id == d.VM.ID:
		g.stepEra(ioCtx, era.VMMsg{ID: id, Facts: era.Facts{ConfigVersion: d.VM.ConfigVersion, PresetRevision: d.VM.PresetRevision}})
	case d.Era != nil:
		g.stepEra(ioCtx, era.RecordMsg{Record: *d.Era})
	case !c.item.Removed:
	case isVM:
		g.stepEra(ioCtx, era.VMRemovedMsg{ID: id})
	case g.decoder.IsPresets(key):
		g.stepEra(ioCtx, era.PresetMsg{})
	case g.decoder.IsEra(key):
		g.stepEra(ioCtx, era.RecordMsg{})
	}
}
