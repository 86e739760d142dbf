package entry

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

// FleetStatus is the response body of GET /v1/status?fleet=1.
type FleetStatus struct {
	VMs          []vm.Status `json:"vms"`
	Unresponsive []string    `json:"silent"` // members that did not respond in time
}

// EventsDocument is the response body of GET /v1/events.
type EventsDocument struct {
	Events       []timeline.Event `json:"events"`
	Unresponsive []string         `json:"silent"` // members that did not respond in time
}

// serveStatus returns the status of this VM, or with fleet=1 of all VMs.
func (v *VM) serveStatus(r *fasthttp.RequestCtx) {
	var own vm.Status
	if err := v.readCore(func(core *vm.Core, now clock.Millis) { own = core.Status(now) }); err != nil {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: err.Error()})
		return
	}
	if stringArg(r, "fleet") != "1" {
		writeJSON(r, fasthttp.StatusOK, own)
		return
	}
	others, unresponsive := fanOutAdminRequest[vm.Status](r, v, own.Members, vm.AdminStatus, nil)
	doc := FleetStatus{VMs: append(others, own), Unresponsive: append([]string{}, unresponsive...)}
	slices.SortFunc(doc.VMs, func(a, b vm.Status) int { return strings.Compare(a.VM, b.VM) })
	slices.Sort(doc.Unresponsive)
	writeJSON(r, fasthttp.StatusOK, doc)
}

// serveEvents returns the events of this VM, or with fleet=1 the merged events of all VMs.
func (v *VM) serveEvents(r *fasthttp.RequestCtx) {
	f, err := v.eventFilter(r)
	if err != nil {
		writeInvalid(r, err)
		return
	}
	var own []timeline.Event
	var status vm.Status
	err = v.readCore(func(core *vm.Core, now clock.Millis) { own, status = core.Events(f), core.Status(now) })
	if err != nil {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: err.Error()})
		return
	}
	doc := EventsDocument{Events: own, Unresponsive: []string{}}
	if stringArg(r, "fleet") == "1" {
		payload, err := json.Marshal(f)
		if err != nil {
			writeInvalid(r, err)
			return
		}
		others, unresponsive := fanOutAdminRequest[[]timeline.Event](r, v, status.Members, vm.AdminEvents, payload)
		doc.Events = timeline.Merge(append(others, own)...)
		doc.Unresponsive = append(doc.Unresponsive, unresponsive...)
	}
	if doc.Events == nil {
		doc.Events = []timeline.Event{}
	}
	writeJSON(r, fasthttp.StatusOK, doc)
}

func (v *VM) eventFilter(r *fasthttp.RequestCtx) (timeline.Filter, error) {
	f := timeline.Filter{
		Request: stringArg(r, "request"), Upstream: stringArg(r, "upstream"), Kind: timeline.Kind(stringArg(r, "kind")),
	}
	if f.Kind != "" && !slices.Contains(timeline.Kinds(), f.Kind) {
		return f, invalid("kind", "%q is not one of %v", f.Kind, timeline.Kinds())
	}
	var err error
	if f.Revision, err = uintArg(r, "revision"); err != nil {
		return f, err
	}
	since, err := durationArg(r, "since")
	if err != nil {
		return f, err
	}
	if since > 0 {
		f.SinceMs = v.clock.Now() - clock.Millis(since.Milliseconds())
	}
	wall, err := uintArg(r, "after_ms")
	if err != nil {
		return f, err
	}
	logical, err := uintArg(r, "after_logical")
	f.After = clock.Timestamp{WallMs: clock.Millis(wall), Logical: uint32(logical)}
	return f, err
}

// servePresets returns the preset record of this VM.
func (v *VM) servePresets(r *fasthttp.RequestCtx) {
	var doc any
	err := v.readCore(func(core *vm.Core, _ clock.Millis) {
		if rec := core.Record(); rec.Revision > 0 {
			doc = rec
		}
	})
	if err != nil || doc == nil {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: "no preset record yet", Execution: attempt.NotExecuted})
		return
	}
	writeJSON(r, fasthttp.StatusOK, doc)
}
