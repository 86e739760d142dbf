// Command 3 adds a route below the prefix of a gathering route while the upstreams of one
// shard are down and one VM is cut off from the store. It counts the processes of the
// other VMs that end by themselves.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/review/kit"
)

const (
	shards = 9
	host   = "plots.example"

	firstOutageMs = 5000
	outages       = 4
	outageGapMs   = 15_000
	cutMs         = 5500 // of a VM from the store
	outageMs      = 4500 // of a shard
	changeMs      = 500  // after the start of an outage
	endMs         = firstOutageMs + outages*outageGapMs
	requestGap    = 30 * time.Millisecond
	restartMs     = 300

	// A day is broken if that many processes end by themselves so often.
	minMachines = 2
	minEnds     = 3
)

var dataCentres = []string{"a", "b", "c"}

func shardName(s int) string { return fmt.Sprintf("plots%d", s) }

func gatherRoute() map[string]any {
	var gather []string
	for s := range shards {
		gather = append(gather, shardName(s))
	}
	return map[string]any{
		"name": "search", "host": host, "prefix": "/search/", "route-type": "idempotent", "timeout-ms": 800, "target-latency-ms": 150,
		"priority": 0, "gather": gather, "max-attempts": 2, "top-k": 10, "min-shard-ratio": 0.75,
	}
}

func prefix(change int) string { return fmt.Sprintf("/search/plot-%d/", change) }

func plainRoute(change int) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("plot-%d", change), "host": host, "prefix": prefix(change), "route-type": "idempotent", "timeout-ms": 800,
		"target-latency-ms": 150, "priority": 0, "service": "archive", "max-attempts": 2,
	}
}

// gate forwards connections to an upstream, and refuses them while the upstream is down.
type gate struct {
	target string
	lis    net.Listener
	addr   string
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

func newGate(r *kit.Run, target string) (*gate, error) {
	g := &gate{target: target, conns: make(map[net.Conn]bool)}
	address, err := r.FreeAddress()
	if err != nil {
		return g, err
	}
	return g, g.open(address)
}

func (g *gate) open(address string) error {
	lis, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	g.lis, g.addr = lis, lis.Addr().String()
	go g.accept(lis)
	return nil
}

func (g *gate) accept(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		s, err := net.DialTimeout("tcp", g.target, time.Second)
		if err != nil {
			_ = c.Close()
			continue
		}
		g.mu.Lock()
		g.conns[c], g.conns[s] = true, true
		g.mu.Unlock()
		go g.copy(c, s)
		go g.copy(s, c)
	}
}

func (g *gate) copy(dst, src net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	_, _ = dst.Close(), src.Close()
	g.mu.Lock()
	delete(g.conns, src)
	delete(g.conns, dst)
	g.mu.Unlock()
}

// crash closes the listener and all connections, as the end of the upstream does.
func (g *gate) crash() {
	_ = g.lis.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Close()
	}
}

func query(ctx context.Context, r *kit.Run, v *kit.VM, change func() int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", v.Name, i)
		path := prefix(change()) + "q"
		resp := r.Do(v, kit.Request{Method: "GET", Host: host, Path: path, ID: id, DeadlineMs: 800})
		r.Logf("%s: request %s for %s sent at %d, status %d, error %v", v.Name, id, path, resp.SentAt, resp.Status, resp.Err)
		kit.Sleep(requestGap)
	}
}

// supervise starts a VM again after each end, as the platform does, and counts the ends.
func supervise(ctx context.Context, v *kit.VM, ends *int, mu *sync.Mutex) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.Exited():
		}
		mu.Lock()
		*ends++
		mu.Unlock()
		kit.Sleep(restartMs * time.Millisecond)
		if ctx.Err() != nil || v.Start() != nil {
			return
		}
	}
}

// run plays the case.
func run(r *kit.Run, trouble bool) ([]string, error) {
	n := r.NewInstallation()
	defer n.Close()
	var gates []*gate
	for s := range shards {
		for i := range 2 {
			u := n.AddAt(shardName(s), dataCentres[(s+i)%len(dataCentres)], fmt.Appendf(nil, "%016d", s), func(address string) (string, error) {
				g, err := newGate(r, address)
				if s == 0 && err == nil {
					gates = append(gates, g)
				}
				return g.addr, err
			})
			u.SetDelay(5 * time.Millisecond)
		}
	}
	for i := range 3 {
		n.Add("archive", dataCentres[i], []byte("archived record")).SetDelay(5 * time.Millisecond)
	}
	version := 3
	n.Configure(version, gatherRoute())
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { n.Heartbeats(ctx) })

	var vms []*kit.VM
	storeGate, err := newGate(r, n.Store.Address())
	if err != nil {
		return nil, err
	}
	for i, dc := range dataCentres {
		store := n.Store.Address()
		if i == len(dataCentres)-1 {
			store = storeGate.addr
		}
		v, err := r.StartVM("vm-"+dc, dc, store)
		if err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	if err := r.AwaitReady(); err != nil {
		return nil, err
	}
	ends := make([]int, len(vms))
	var mu sync.Mutex
	change := 0
	current := func() int { mu.Lock(); defer mu.Unlock(); return change }
	for i, v := range vms {
		background.Go(func() { supervise(ctx, v, &ends[i], &mu) })
		background.Go(func() { query(ctx, r, v, current) })
	}
	for o := range outages {
		start := clock.Millis(firstOutageMs + o*outageGapMs)
		r.SleepUntil(start)
		if trouble {
			r.Logf("the upstreams of %s crash; %s is cut off from the store", shardName(0), vms[2].Name)
			storeGate.crash()
			n.SetDown(shardName(0), true)
			for _, g := range gates {
				g.crash()
			}
		}
		r.SleepUntil(start + changeMs)
		version += 2
		if trouble {
			n.Configure(version, gatherRoute(), plainRoute(o))
			r.Logf("the operator's version %d adds the route %s to the service archive; acknowledged", version, prefix(o))
		}
		r.SleepUntil(start + outageMs)
		if trouble {
			for _, g := range gates {
				if err := g.open(g.addr); err != nil {
					return nil, err
				}
			}
			n.SetDown(shardName(0), false)
			r.Logf("the upstreams of %s are back", shardName(0))
		}
		r.SleepUntil(start + cutMs)
		if trouble {
			if err := storeGate.open(storeGate.addr); err != nil {
				return nil, err
			}
			r.Logf("%s reaches the store again", vms[2].Name)
		}
		mu.Lock()
		change++
		mu.Unlock()
	}
	r.SleepUntil(endMs)
	cancel()
	n.LogCounts()
	mu.Lock()
	defer mu.Unlock()
	machines := 0
	for i, v := range vms {
		r.Logf("%s ended by itself %d times", v.Name, ends[i])
		for _, line := range v.LogLines("internal_error") {
			r.Logf("%s: %.300s", v.Name, line)
		}
		if ends[i] >= minEnds {
			machines++
		}
	}
	if machines >= minMachines {
		return []string{fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves %d times or more: %v", machines, len(vms), minEnds, ends)}, nil
	}
	return nil, nil
}

func main() { os.Exit(kit.Main(os.Args[1:], run)) }
