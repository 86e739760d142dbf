// Command 4 has one requester that states a longer time budget than the others, and
// compares how many of the others' queries are served before and after.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/review/kit"
)

const (
	host       = "plots.example"
	shards     = 8
	budgetMs   = 800  // of all requesters but one
	patientMs  = 1500 // of one requester
	startMs    = 2000
	patientAt  = 7000
	settleMs   = 1000
	endMs      = 18_000
	requestGap = 40 * time.Millisecond
	minServed  = 0.25 // of the share of all requests that are served
)

// count is the number of requests of one kind and how many of them were served.
type count struct{ sent, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func routes() []map[string]any {
	var gather []string
	for s := range shards {
		gather = append(gather, fmt.Sprintf("plots%d", s))
	}
	return []map[string]any{
		{
			"name": "search", "host": host, "prefix": "/search/", "route-type": "idempotent", "timeout-ms": 800, "target-latency-ms": 150,
			"priority": 1, "gather": gather, "max-attempts": 2, "top-k": 10, "min-shard-ratio": 0.75,
		},
		{
			"name": "archive", "host": host, "prefix": "/archive/", "route-type": "idempotent", "timeout-ms": 4000,
			"target-latency-ms": 1200, "priority": 2, "service": "archive", "max-attempts": 2,
		},
	}
}

// run plays the case.
func run(r *kit.Run, trouble bool) ([]string, error) {
	n := r.NewInstallation()
	defer n.Close()
	dataCentres := []string{"a", "b"}
	for s := range shards {
		for _, dc := range dataCentres {
			n.Add(fmt.Sprintf("plots%d", s), dc, fmt.Appendf(nil, "%016d", s)).SetDelay(5 * time.Millisecond)
		}
	}
	for _, dc := range dataCentres {
		n.Add("archive", dc, []byte("archived record")).SetDelay(5 * time.Millisecond)
	}
	n.Configure(3, routes()...)
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { n.Heartbeats(ctx) })
	var vms []*kit.VM
	for _, dc := range dataCentres {
		v, err := r.StartVM("vm-"+dc, dc, n.Store.Address())
		if err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	if err := r.AwaitReady(); err != nil {
		return nil, err
	}
	r.SleepUntil(startMs)
	var mu sync.Mutex
	before, after := map[string]count{}, map[string]count{}
	var clients sync.WaitGroup
	for _, v := range vms {
		for _, kind := range []string{"search", "archive"} {
			clients.Go(func() {
				for i := 0; r.Now() < endMs; i++ {
					q := kit.Request{Method: "GET", Host: host, Path: "/" + kind + "/q", ID: fmt.Sprintf("%s-%s-%d", v.Name, kind, i), DeadlineMs: budgetMs}
					resp := r.Do(v, q)
					r.Logf("%s: request %s, budget %d ms, status %d, Retry-After %q", v.Name, q.ID, q.DeadlineMs, resp.Status, resp.Header.Get("Retry-After"))
					mu.Lock()
					counts := before
					if resp.SentAt > patientAt+settleMs {
						counts = after
					}
					if resp.SentAt < patientAt || resp.SentAt > patientAt+settleMs {
						c := counts[kind]
						c.sent++
						if resp.Status == 200 {
							c.served++
						}
						counts[kind] = c
					}
					mu.Unlock()
					kit.Sleep(requestGap)
				}
			})
		}
	}
	r.SleepUntil(clock.Millis(patientAt))
	if trouble {
		for i, v := range vms { // one request to each VM
			q := kit.Request{Method: "GET", Host: host, Path: "/search/q", ID: fmt.Sprintf("patient-%d", i), DeadlineMs: patientMs}
			resp := r.Do(v, q)
			r.Logf("%s: request %s, budget %d ms, status %d", v.Name, q.ID, q.DeadlineMs, resp.Status)
		}
	}
	clients.Wait()
	n.LogRuns()
	all := count{after["search"].sent + after["archive"].sent, after["search"].served + after["archive"].served}
	r.Logf("served before: %v; after: %v", before, after)
	fmt.Println("served before:", before, "after:", after)
	if after["search"].share() < minServed*all.share() {
		return []string{fmt.Sprintf("Starved: %d of %d queries are served (before: %d of %d), %d of %d of all requests",
			after["search"].served, after["search"].sent, before["search"].served, before["search"].sent, all.served, all.sent)}, nil
	}
	return nil, nil
}

func main() { os.Exit(kit.Main(os.Args[1:], run)) }
