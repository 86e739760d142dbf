// Command 1 adds a route while queries run, and checks that each gathered answer
// holds the greatest records of its parts.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/review/kit"
)

const (
	shards          = 9
	replicas        = 2
	recordsPerShard = 6
	oldTopK         = 10
	newTopK         = 3
	host            = "plots.example"
	firstChangeMs   = 4000
	changes         = 8
	changeGapMs     = 1130
	endAtMs         = firstChangeMs + changes*changeGapMs
	requestGap      = 30 * time.Millisecond  // on each VM
	startGap        = 140 * time.Millisecond // between the starts of the VMs
)

var dataCentres = []string{"a", "b", "c"}

// shardBody returns the records of a shard: interleaved with those of the other shards.
func shardBody(shard int) []byte {
	var b bytes.Buffer
	for i := range recordsPerShard {
		fmt.Fprintf(&b, "%016d", 1000+i*shards+shard)
	}
	return b.Bytes()
}

func route(name, prefix string, topK int) map[string]any {
	var gather []string
	for s := range shards {
		gather = append(gather, fmt.Sprintf("plots%d", s))
	}
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route-type": "idempotent", "timeout-ms": 800, "target-latency-ms": 150,
		"priority": 0, "gather": gather, "max-attempts": 2, "top-k": topK, "min-shard-ratio": 0.75,
	}
}

// check returns what is wrong with a success, or "".
func check(id string, resp kit.Response) string {
	receipts := kit.List(resp.Header, "X-Part-Stamps")
	var bodies [][]byte
	seen := make(map[int]bool)
	for _, receipt := range receipts {
		upstream, request, ok := strings.Cut(receipt, ".")
		if !ok || request != id {
			return "receipt " + receipt + " is not of this request"
		}
		number, err := strconv.Atoi(strings.TrimPrefix(upstream, "i-"))
		shard := number / replicas
		if err != nil || seen[shard] {
			return "receipt " + receipt + " appears twice or is none"
		}
		seen[shard] = true
		bodies = append(bodies, shardBody(shard))
	}
	missing, _ := strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
	if len(receipts)+missing != shards || len(receipts) < 7 {
		return fmt.Sprintf("%d parts and %d missing of %d", len(receipts), missing, shards)
	}
	oldBody, newBody := relay.TopRecords(oldTopK, bodies), relay.TopRecords(newTopK, bodies)
	if bytes.Equal(resp.Body, oldBody) || bytes.Equal(resp.Body, newBody) {
		return ""
	}
	return fmt.Sprintf("%d parts, body of %d records %s; the greatest %d are %s, the greatest %d are %s",
		len(receipts), len(resp.Body)/16, short(resp.Body), oldTopK, short(oldBody), newTopK, short(newBody))
}

// short prints records without their leading zeros.
func short(body []byte) string {
	var out []string
	for r := range slices.Chunk(body, 16) {
		out = append(out, strings.TrimLeft(string(r), "0"))
	}
	return "[" + strings.Join(out, " ") + "]"
}

// prefix returns the path prefix of the route that a change adds.
func prefix(change int) string { return fmt.Sprintf("/search/short-%d/", change) }

// currentChange returns the change whose route is asked for: the newest, or the next one
// shortly before it is made.
func currentChange(now clock.Millis) int {
	const lead = 200
	return max(int((now-firstChangeMs+lead)/changeGapMs), 0)
}

// query sends queries to a VM until the end of the run and returns the wrong answers.
func query(r *kit.Run, v *kit.VM) []string {
	var wrong []string
	for n := 0; r.Now() < endAtMs; n++ {
		id := fmt.Sprintf("%s-%d", v.Name, n)
		path := prefix(currentChange(r.Now())) + "q"
		resp := r.Do(v, kit.Request{Method: "GET", Host: host, Path: path, ID: id, DeadlineMs: 800})
		verdict := ""
		if resp.Status >= 200 && resp.Status < 300 {
			verdict = check(id, resp)
		}
		r.Logf("%s: request %s for %s sent at %d, status %d, %d records, %d receipts, missing %q %s", v.Name, id, path, resp.SentAt, resp.Status,
			len(resp.Body)/16, len(kit.List(resp.Header, "X-Part-Stamps")), resp.Header.Get("X-Missing-Parts"), verdict)
		if verdict != "" {
			wrong = append(wrong, fmt.Sprintf("MIXED at %d ms, %s, request %s: %s", resp.SentAt, v.Name, id, verdict))
		}
		kit.Sleep(requestGap)
	}
	return wrong
}

// run plays the case.
func run(r *kit.Run, trouble bool) ([]string, error) {
	n := r.NewInstallation()
	defer n.Close()
	for s := range shards {
		for i := range replicas {
			// Each shard lies in two of the three data centres.
			n.Add(fmt.Sprintf("plots%d", s), dataCentres[(s+i)%len(dataCentres)], shardBody(s)).SetDelay(5 * time.Millisecond)
		}
	}
	n.Configure(3, route("search", "/search/", oldTopK))
	ctx, cancel := context.WithCancel(context.Background())
	var beats sync.WaitGroup
	beats.Go(func() { n.Heartbeats(ctx) })
	defer beats.Wait()
	defer cancel()
	var vms []*kit.VM
	for i, dc := range dataCentres {
		r.SleepUntil(clock.Millis((time.Duration(i) * startGap).Milliseconds()))
		v, err := r.StartVM("vm-"+dc, dc, n.Store.Address())
		if err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	if err := r.AwaitReady(); err != nil {
		return nil, err
	}
	results := make([][]string, len(vms))
	var clients sync.WaitGroup
	r.SleepUntil(firstChangeMs - 1500)
	for i, v := range vms {
		clients.Go(func() { results[i] = query(r, v) })
	}
	routes := []map[string]any{route("search", "/search/", oldTopK)}
	for i := range changes {
		r.SleepUntil(clock.Millis(firstChangeMs + i*changeGapMs))
		if trouble {
			routes = append(routes, route(fmt.Sprintf("short-%d", i), prefix(i), newTopK))
			n.Configure(5+2*i, routes...)
			r.Logf("the operator's version %d adds the route %s with top-k %d; acknowledged", 5+2*i, prefix(i), newTopK)
		}
	}
	clients.Wait()
	n.LogRuns()
	return slices.Concat(results...), nil
}

func main() { os.Exit(kit.Main(os.Args[1:], run)) }
