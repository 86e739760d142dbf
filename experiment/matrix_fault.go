package experiment

import (
	"strings"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

const (
	faultMs        clock.Millis = 3 * clock.Second
	faultVMStopped              = "vm-stopped"
)

// fault is one kind of fault. inject starts it and returns a function that ends it, or nil.
type fault struct {
	name       string
	durationMs clock.Millis // how long it lasts; 0 means faultMs
	inject     func(*cell, *faultInjection, observation) func()
}

func (f *fault) duration() clock.Millis {
	if f.durationMs > 0 {
		return f.durationMs
	}
	return faultMs
}

func faults() []fault {
	return []fault{
		{name: "straggler", inject: straggler},
		{name: "replica-lost", inject: replicaLost},
		{name: "repartition", inject: repartition},
		{name: "index-change", inject: indexChange},
		{name: "flood-urgent", inject: flooding(rank.Urgent)},
		{name: "flood-ordinary", inject: flooding(rank.Ordinary)},
		{name: "flood-patient", inject: flooding(rank.Patient)},
		{name: "store-down", inject: storeDown},
		{name: "store-slow", inject: storeSlow},
		{name: "store-answer-lost", inject: storeReplyLost},
		{name: "lease-lapsed", durationMs: leaseLapseMs, inject: leaseLapsed},
		{name: "roster-stale", inject: vmListStale},
		{name: "roster-missing", inject: vmListMissing},
		{name: "roster-extra", inject: vmListExtra},
		{name: "vm-killed", inject: vmKilled},
		{name: "vm-paused", inject: vmPaused},
		{name: faultVMStopped, inject: vmStopped},
		{name: "link-cut-one-way", inject: linkCut(false)},
		{name: "link-cut-both-ways", inject: linkCut(true)},
		{name: "upstream-leaving", durationMs: 5 * clock.Second, inject: upstreamLeaving},
		{name: "upstream-cold", inject: upstreamCold},
		{name: "upstream-shedding", inject: upstreamShedding},
		{name: "upstream-lying", inject: upstreamLying},
		{name: "reply-late", inject: replyLate},
		{name: "reply-crossed", inject: replyCrossed},
		{name: "reply-cut", inject: replyCut},
		{name: "reply-doubled", inject: replyDoubled},
		{name: "operators-racing", inject: operatorsRacing},
	}
}

func findFault(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// impossible returns why the steps cannot occur together with the faults, or "".
// Within one cell the step precedes its fault, so no single cell is impossible.
func impossible(injections []*faultInjection) string {
	var prepared []string
	for _, s := range injections {
		if strings.HasPrefix(s.step.name, "preset-") || s.step.prepare == nil {
			continue
		}
		prepared = append(prepared, s.step.name)
	}
	if len(prepared) == 2 && prepared[0] == "claim-read-back" && prepared[1] == "claim-read-back" {
		return "only one store reply is lost, which provokes a single read-back"
	}
	return ""
}
