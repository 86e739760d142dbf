package main

import (
	"context"
	"net/http"
	"time"

	"lentillink.example/lentillink/platform/standin"
)

const (
	// longestWatch is how long the store lets a watch wait before it cuts it.
	longestWatch = 500 * time.Millisecond

	// serveBy is the time from the start of the machines by which one of them has to be ready:
	// several times the time that traffic is held back after the start.
	serveBy = 60 * time.Second
)

// neverReady starts a deployment for the first time while the store cuts waiting watches.
func neverReady(r *run) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	proxy := newStoreProxy(store.Address())
	defer proxy.close()
	if r.trouble {
		proxy.longestWatch.Store(int64(longestWatch))
	}
	served, err := firstStart(r, store, proxy.address())
	r.add("the store has cut %d watches", proxy.cuts.Load())
	return served == 0, err
}

// firstStart starts a deployment for the first time and returns how many requests it serves.
func firstStart(r *run, store *standin.Store, storeAddress string) (served int, err error) {
	configure(store, 3, 0)
	d := newDeployment(r, store)
	defer d.end()
	for i, zone := range []string{"a", "b", "c"} {
		b, err := newBackend(r.recorder, "i-"+string(rune('1'+i)), "orders", zone, orderWork)
		if err != nil {
			return 0, err
		}
		d.backends = append(d.backends, b)
		m, err := newMachine(r.dir, "front-"+zone+"-1", zone, storeAddress)
		if err != nil {
			return 0, err
		}
		d.machines = append(d.machines, m)
	}
	d.startBeating(r)
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	startedAt := r.add("three machines were started; a configuration and three backends are in the store")
	load, stopLoad := context.WithCancel(r.ctx)
	d.stop = stopLoad
	pause(r.ctx, 10*time.Second)
	d.q.run(load, http.MethodPost, "/order/one", d.machines, 10, orderDeadline)
	ready := func() bool {
		for _, m := range d.machines {
			if m.isReady() {
				return true
			}
		}
		return false
	}
	isReady := waitFor(r.ctx, serveBy-10*time.Second, ready)
	r.add("a machine is ready: %t, after %d ms", isReady, r.now()-startedAt)
	pause(r.ctx, 2*time.Second)
	for _, o := range d.stopLoad(r) {
		if o.status == http.StatusOK {
			served++
		}
	}
	r.add("%d requests were served", served)
	return served, nil
}
