package bench

import (
	"fmt"
	"time"

	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/settings"
)

// Options configure a measurement.
type Options struct {
	Shards      int
	Concurrency int           // callers that each send their next query after an answer
	Duration    time.Duration // of each variant
}

// Presets of the two variants.
const (
	hedgingOff = "hedging-off"
	hedgingOn  = "hedging-on"
)

const (
	replicas         = 2
	shardKeys        = 1000
	connsPerUpstream = 64
	// Two in a hundred sub-requests take ten times as long, as in experiment straggler.
	slowRatio  = 0.02
	slowFactor = 10
	// hedgePercent is the hedge budget. It allows a hedge for every slow sub-request.
	hedgePercent = 5
)

func (o Options) settings() (*settings.Settings, error) {
	example, err := settings.Example("hautakukka")
	if err != nil {
		return nil, err
	}
	doc := example.Document()
	search := settings.Service{Name: "search"}
	for i := range o.Shards {
		g := settings.Group{Name: fmt.Sprintf("shard-%02d", i+1), From: search.Keys, To: search.Keys + shardKeys}
		search.Keys = g.To
		for r := range replicas {
			g.Replicas = append(g.Replicas, settings.Replica{
				Name: string(rune('a' + r)), Address: fmt.Sprintf("127.0.0.1:%d", 30000+replicas*i+r),
				Connections: connsPerUpstream, ConnectMs: 1,
			})
		}
		search.Groups = append(search.Groups, g)
	}
	doc.Services = []settings.Service{search}
	return settings.New(doc)
}

// presetRecord holds one preset for each variant. They differ only in hedging.
func presetRecord() preset.Record {
	rec := preset.Default()
	off := rec.CurrentPreset()
	off.Name, off.Urgent.HedgeBudgetPercent = hedgingOff, 0
	on := off
	on.Name, on.Urgent.HedgeBudgetPercent = hedgingOn, hedgePercent
	rec.Presets, rec.InForce = []preset.Preset{off, on}, off.Name
	return rec
}
