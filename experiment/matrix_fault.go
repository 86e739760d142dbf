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

// fault is one kind of fault. strike starts it and returns what heals it.
type fault struct {
	name   string
	ms     clock.Millis // how long it lasts, 0 for faultMs
	strike func(*cell, *strike, moment) func()
}

func (f *fault) lasts() clock.Millis {
	if f.ms > 0 {
		return f.ms
	}
	return faultMs
}

func faults() []fault {
	return []fault{
		{name: "straggler", strike: straggler},
		{name: "replica-lost", strike: replicaLost},
		{name: "repartition", strike: repartition},
		{name: "index-change", strike: indexChange},
		{name: "flood-urgent", strike: flooding(rank.Urgent)},
		{name: "flood-ordinary", strike: flooding(rank.Ordinary)},
		{name: "flood-patient", strike: flooding(rank.Patient)},
		{name: "store-down", strike: storeDown},
		{name: "store-slow", strike: storeSlow},
		{name: "store-answer-lost", strike: storeAnswerLost},
		{name: "lease-lapsed", ms: lapseMs, strike: leaseLapsed},
		{name: "roster-stale", strike: rosterStale},
		{name: "roster-missing", strike: rosterMissing},
		{name: "roster-extra", strike: rosterExtra},
		{name: "vm-killed", strike: vmKilled},
		{name: "vm-paused", strike: vmPaused},
		{name: faultVMStopped, strike: vmStopped},
		{name: "link-cut-one-way", strike: linkCut(false)},
		{name: "link-cut-both-ways", strike: linkCut(true)},
		{name: "upstream-leaving", ms: 5 * clock.Second, strike: upstreamLeaving},
		{name: "upstream-cold", strike: upstreamCold},
		{name: "upstream-shedding", strike: upstreamShedding},
		{name: "upstream-lying", strike: upstreamLying},
		{name: "reply-late", strike: replyLate},
		{name: "reply-crossed", strike: replyCrossed},
		{name: "reply-cut", strike: replyCut},
		{name: "reply-doubled", strike: replyDoubled},
		{name: "operators-racing", strike: operatorsRacing},
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

// impossible says why the steps cannot occur together with the faults. Every
// step comes before its fault in a cell, so no single cell is impossible.
func impossible(strikes []*strike) string {
	var prepared []string
	for _, s := range strikes {
		if strings.HasPrefix(s.step.name, "preset-") || s.step.prepare == nil {
			continue
		}
		prepared = append(prepared, s.step.name)
	}
	if len(prepared) == 2 && prepared[0] == "claim-read-back" && prepared[1] == "claim-read-back" {
		return "only one answer is lost to provoke a read-back"
	}
	return ""
}
