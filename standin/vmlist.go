package standin

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/roster/httproster"
)

// VMList is a fake of the platform's list of VMs.
type VMList struct {
	*server
	faultSet

	dataMu  sync.Mutex
	lag     time.Duration
	history []snapshot // ascending in time; the last one is current
}

type snapshot struct {
	at  time.Time
	vms []roster.VM
}

// StartVMList serves an empty list until ctx is cancelled or Close is called.
func StartVMList(ctx context.Context, opts ...VMListOption) (*VMList, error) {
	l := &VMList{server: newServer(ctx, "127.0.0.1:0"), history: []snapshot{{}}}
	for _, opt := range opts {
		opt(l)
	}
	l.faultSet = faultSet{
		boolFault("down", l.setDown),
		l.delayFault("slow_ms", &l.callDelay),
		numberFault("lag_ms", 0, maxDelayMs, func(ms float64) {
			l.dataMu.Lock()
			defer l.dataMu.Unlock()
			l.lag = millis(ms)
		}),
	}
	return l, l.start(l.route)
}

// Register adds a VM, or replaces the one with the same ID.
func (l *VMList) Register(vm roster.VM) error {
	if vm.ID == "" {
		return &Error{op: "register", kind: KindInvalid, err: fmt.Errorf("id is empty, want a name")}
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		err = fmt.Errorf("address is %q, want an IP address and a port", vm.Address)
		return &Error{op: "register", kind: KindInvalid, err: err}
	}
	l.update(vm.ID, &vm)
	return nil
}

// Remove removes a VM from the list.
func (l *VMList) Remove(id string) { l.update(id, nil) }

func (l *VMList) update(id string, vm *roster.VM) {
	l.dataMu.Lock()
	defer l.dataMu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(l.latest()), func(v roster.VM) bool { return v.ID == id })
	if vm != nil {
		vms = append(vms, *vm)
	}
	now := time.Now()
	l.history = append(l.history, snapshot{at: now, vms: vms})
	l.pruneHistory(now)
}

// pruneHistory drops snapshots that are older than the largest lag. The caller
// holds l.dataMu.
func (l *VMList) pruneHistory(now time.Time) {
	oldest := now.Add(-maxDelayMs * time.Millisecond)
	for len(l.history) > 1 && l.history[1].at.Before(oldest) {
		l.history = l.history[1:]
	}
}

func (l *VMList) latest() []roster.VM { return l.history[len(l.history)-1].vms }

// VMs returns the current list, without lag.
func (l *VMList) VMs() []roster.VM {
	l.dataMu.Lock()
	defer l.dataMu.Unlock()
	return slices.Clone(l.latest())
}

// visibleVMs returns the list that clients get: the one of a lag ago.
func (l *VMList) visibleVMs(now time.Time) []roster.VM {
	l.dataMu.Lock()
	defer l.dataMu.Unlock()
	for _, h := range slices.Backward(l.history) {
		if !h.at.After(now.Add(-l.lag)) {
			return h.vms
		}
	}
	return nil
}

func (l *VMList) route(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	switch method + " " + path {
	case "GET /vms":
		writeReply(ctx, fasthttp.StatusOK, httproster.VMsDoc{VMs: append([]roster.VM{}, l.visibleVMs(time.Now())...)})
	case "POST /vms":
		l.serveRegister(ctx)
	case "DELETE /vms":
		l.Remove(string(ctx.QueryArgs().Peek("id")))
		writeReply(ctx, fasthttp.StatusOK, struct{}{})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no %s %s", method, path)
	}
}

func (l *VMList) serveRegister(ctx *fasthttp.RequestCtx) {
	var vm roster.VM
	err := decodeStrict(ctx.PostBody(), &vm)
	if err == nil {
		err = l.Register(vm)
	}
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	writeReply(ctx, fasthttp.StatusOK, vm)
}
