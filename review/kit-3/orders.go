package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lentillink.example/lentillink/platform/standin"
)

const (
	orderWork     = 120 * time.Millisecond
	orderDeadline = 2 * time.Second
	orderRate     = 40

	// servesOn is how long a backend serves after its entry was removed: drain-ms and a little.
	servesOn = drainMs*time.Millisecond + 1200*time.Millisecond

	// warmUp is the time from the start of the machines to the first request.
	warmUp = 5 * time.Second
)

// deployment is a small deployment with one service of three backends, and requesters who
// send it orders, which may not be repeated.
type deployment struct {
	backends []*backend
	machines []*machine
	q        *requesters
	stop     context.CancelFunc // of the requesters
}

// configure writes a version of the configuration with a number of routes beside the first.
func configure(store *standin.Store, version, more int) {
	routes := []map[string]any{route("order", "/order/")}
	for n := range more {
		name := fmt.Sprintf("more%d", n)
		routes = append(routes, route(name, "/"+name+"/"))
	}
	store.Put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "orders", "health-path": "/health", "max-connections": 110}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route-type": "non_idempotent", "timeout-ms": 2000,
		"target-latency-ms": 800, "priority": 1, "service": "orders", "max-attempts": 2,
	}
}

// startOrders starts a deployment whose machines call the store at an address, and its
// requesters. The result is never nil.
func startOrders(r *run, store *standin.Store, storeAddress string) (*deployment, error) {
	d := &deployment{q: newRequesters(r.recorder), stop: func() {}}
	configure(store, 3, 0)
	zones := []string{"a", "b", "c"}
	for i, zone := range zones {
		b, err := newBackend(r.recorder, "i-"+string(rune('1'+i)), "orders", zone, orderWork)
		if err != nil {
			return d, err
		}
		d.backends = append(d.backends, b)
		store.Put(b.key(), b.entry("ready", 1))
	}
	var err error
	if d.machines, err = startMachines(r.ctx, r.dir, storeAddress, zones); err != nil {
		return d, err
	}
	pause(r.ctx, warmUp)
	var load context.Context
	load, d.stop = context.WithCancel(r.ctx)
	d.q.run(load, http.MethodPost, "/order/one", d.machines, orderRate, orderDeadline)
	return d, nil
}

// stopLoad ends the requesters, writes what was sent, answered and run, and returns what the
// requesters saw.
func (d *deployment) stopLoad(r *run, others ...*backend) []outcome {
	d.stop()
	outcomes := d.q.all()
	for _, o := range outcomes {
		r.addAt(o.sentAt, "sent %s %s to %s: answer %d at %d", o.id, o.path, o.machine, o.status, o.endedAt)
	}
	for _, b := range append(others, d.backends...) {
		for _, a := range b.received() {
			r.addAt(a.at, "%s reached %s of service %s, ran %t, answered %t", a.id, b.id, b.service, a.ran, a.done)
		}
	}
	return outcomes
}

func (d *deployment) end() {
	d.stop()
	for _, m := range d.machines {
		m.kill()
	}
	for _, b := range d.backends {
		b.exit()
	}
}
