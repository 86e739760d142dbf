package main

import (
	"context"
	"time"

	"lentillink.example/lentillink/platform/standin"
)

const (
	// cutEvery is the time between two moments at which the store cuts the watches that wait.
	cutEvery = 2 * time.Second

	// cutsBefore is the time from the first of these moments to the removal of the entry.
	cutsBefore = 3 * time.Second
)

// watchCut has one backend leave without reporting that it drains, while the store cuts
// waiting watches from time to time.
func watchCut(r *run) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	proxy := newStoreProxy(store.Address())
	defer proxy.close()
	d, err := startOrders(r, store, proxy.address())
	defer d.end()
	if err != nil {
		return false, err
	}
	pause(r.ctx, 2*time.Second)
	cutting, stopCutting := context.WithCancel(r.ctx)
	defer stopCutting()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r.trouble && cutting.Err() == nil {
			r.add("the store cuts %d waiting watches", proxy.cutWatches())
			pause(cutting, cutEvery)
		}
	}()
	pause(r.ctx, cutsBefore)
	leaving := d.backends[0]
	store.Delete(leaving.key())
	removedAt := r.add("the entry of %s was removed and the removal acknowledged; it serves on for %v", leaving.id, servesOn)
	pause(r.ctx, servesOn)
	leaving.exit()
	exitAt := r.add("%s has ended", leaving.id)
	pause(r.ctx, 3*time.Second)
	stopCutting()
	<-done
	return judgeDrain(r, leaving, removedAt, exitAt, d.stopLoad(r)), nil
}
