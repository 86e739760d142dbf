package standin

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/upstream"
)

// Store returns the store.
func (d *Deployment) Store() *Store { return d.store }

// VMList returns the VM list.
func (d *Deployment) VMList() *VMList { return d.vmList }

// Upstream returns one upstream, or nil.
func (d *Deployment) Upstream(id upstream.ID) *Upstream { return d.upstreams[id] }

// Upstreams returns the identifiers of all upstreams in the order of the settings.
func (d *Deployment) Upstreams() []upstream.ID { return slices.Clone(d.upstreamIDs) }

// Settings returns the settings with the addresses in use.
func (d *Deployment) Settings() *settings.Settings { return d.settings }

// ControlAddress returns the address of the HTTP interface that injects faults.
func (d *Deployment) ControlAddress() string { return d.control.Address() }

// Ledger sums up the orders that all upstreams executed.
type Ledger struct {
	Orders     int      `json:"orders"`
	Executions int      `json:"runs"`
	Repeated   []string `json:"repeated"` // IDs that were executed more than once, sorted
}

// Ledger returns the sum of the orders that all upstreams executed.
func (d *Deployment) Ledger() Ledger {
	executions := make(map[string]int)
	for _, u := range d.upstreams {
		u.eachOrder(func(id string, runs int) { executions[id] += runs })
	}
	totals := Ledger{Orders: len(executions), Repeated: []string{}}
	for id, runs := range executions {
		totals.Executions += runs
		if runs > 1 {
			totals.Repeated = append(totals.Repeated, id)
		}
	}
	slices.Sort(totals.Repeated)
	return totals
}

// Inject sets a fault of a target and returns on how many services it was set.
func (d *Deployment) Inject(target, name string, value any) (int, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, &Error{op: "inject", kind: KindInvalid, err: err}
	}
	return d.inject(target, name, raw)
}

func (d *Deployment) inject(target, name string, raw json.RawMessage) (int, error) {
	switch target {
	case "store":
		return 1, d.store.inject(name, raw)
	case "vm_list":
		return 1, d.vmList.inject(name, raw)
	}
	if s := d.serviceFaults(target); slices.Contains(s.names(), name) {
		return 1, s.inject(name, raw)
	}
	upstreams, err := d.upstreamsAt(target)
	if err != nil {
		return 0, err
	}
	for i, u := range upstreams {
		if err := u.inject(name, raw); err != nil {
			return i, err
		}
	}
	return len(upstreams), nil
}

// serviceFaults returns the faults that change all upstreams of a service together.
func (d *Deployment) serviceFaults(service string) faultSet {
	return faultSet{
		countFault("rollover", 1, maxVersion, func(n uint64) error { return d.RollOver(service, n) }),
		countFault("repartition", 0, 1<<32-1, func(n uint64) error { return d.Repartition(service, uint32(n)) }),
	}
}

type faultDoc struct {
	Target string          `json:"target"`
	Fault  string          `json:"fault"`
	Value  json.RawMessage `json:"value"`
}

type appliedDoc struct {
	Applied int `json:"applied"`
}

func (d *Deployment) route(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	switch method + " " + path {
	case "POST /fault":
		d.serveFault(ctx)
	case "GET /faults":
		writeReply(ctx, fasthttp.StatusOK, d.acceptedValues())
	case "GET /ledger":
		writeReply(ctx, fasthttp.StatusOK, d.Ledger())
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no %s %s, want POST /fault, GET /faults or GET /ledger", method, path)
	}
}

func (d *Deployment) serveFault(ctx *fasthttp.RequestCtx) {
	var doc faultDoc
	if err := decodeStrict(ctx.PostBody(), &doc); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "body is not a fault, want target, fault and value: %v", err)
		return
	}
	if len(doc.Value) == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "value is missing")
		return
	}
	n, err := d.inject(doc.Target, doc.Fault, doc.Value)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	writeReply(ctx, fasthttp.StatusOK, appliedDoc{Applied: n})
}

func (d *Deployment) acceptedValues() map[string]map[string]string {
	out := map[string]map[string]string{
		"store":   d.store.acceptedValues(),
		"vm_list": d.vmList.acceptedValues(),
		"service": d.serviceFaults("").acceptedValues(),
	}
	if len(d.upstreamIDs) > 0 {
		out["upstream"] = d.upstreams[d.upstreamIDs[0]].acceptedValues()
	}
	return out
}
