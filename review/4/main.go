// Command 4 has requesters that leave before the answer: each ends its side of the
// connection, reads what still comes until the end, and closes.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"lentillink.example/lentillink/review/kit"
)

const (
	host        = "plots.example"
	startMs     = 2000
	requests    = 40
	leavers     = 5 // one request in so many is given up
	requestGap  = 100 * time.Millisecond
	leaveAfter  = 100 * time.Millisecond
	archiveWork = 400 * time.Millisecond
)

// paths are the paths of the requests: of a route that is not idempotent, and of one that is.
var paths = []string{"/order/one", "/archive/one"}

func routes() []map[string]any {
	var out []map[string]any
	for i, kind := range []string{"non_idempotent", "idempotent"} {
		out = append(out, map[string]any{
			"name": kind, "host": host, "prefix": paths[i][:len(paths[i])-len("one")], "route-type": kind, "timeout-ms": 4000,
			"target-latency-ms": 1200, "priority": 2, "service": "archive", "max-attempts": 2,
		})
	}
	return out
}

// run plays the case.
func run(r *kit.Run, trouble bool) ([]string, error) {
	n := r.NewInstallation()
	defer n.Close()
	for i := range 8 {
		n.Add("archive", []string{"a", "b"}[i%2], []byte("archived record")).SetDelay(archiveWork)
	}
	n.Configure(3, routes()...)
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { n.Heartbeats(ctx) })
	v, err := r.StartVM("vm-a", "a", n.Store.Address())
	if err != nil {
		return nil, err
	}
	if err := r.AwaitReady(); err != nil {
		return nil, err
	}
	r.SleepUntil(startMs)
	var violations []string
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range requests {
		q := kit.Request{Method: "POST", Host: host, Path: paths[i%len(paths)], ID: fmt.Sprintf("request-%d", i), DeadlineMs: 4000, Body: "one order"}
		leaves := trouble && i%leavers == 0
		clients.Go(func() {
			if verdict := send(r, v, q, leaves); verdict != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, verdict)
			}
		})
		kit.Sleep(requestGap)
	}
	clients.Wait()
	kit.Sleep(archiveWork)
	for _, u := range n.Upstreams("archive") {
		for _, got := range u.Requests() {
			r.Logf("upstream %s got request %s (%s %s) at %d ms, executed %v", u.ID(), got.ID, got.Method, got.URI, r.TimeOf(got.At), got.Executed)
		}
	}
	return violations, nil
}

// send sends a request, and with leaves gives it up before the answer. It returns what is
// wrong with what came, or "".
func send(r *kit.Run, v *kit.VM, q kit.Request, leaves bool) string {
	nc, err := net.DialTimeout("tcp", v.Callers, time.Second)
	if err != nil {
		r.Logf("request %s: %v", q.ID, err)
		return ""
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.UnixMilli(int64(r.Wall()) + int64(q.DeadlineMs) + 500)); err != nil {
		return ""
	}
	if _, err := io.WriteString(nc, q.Wire()); err != nil {
		r.Logf("request %s: %v", q.ID, err)
		return ""
	}
	if leaves {
		kit.Sleep(leaveAfter)
		if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
			return ""
		}
		r.Logf("request %s: the requester leaves, it ends its side of the connection", q.ID)
	}
	status, header, body, err := kit.ReadResponse(bufio.NewReader(nc), q.Method)
	r.Logf("request %s (%s): leaves %v, status %d, stamp %q, body of %d bytes, error %v", q.ID, q.Path, leaves, status, header.Get("X-Server-Stamp"), len(body), err)
	if err == nil && status >= 200 && status < 300 && header.Get("X-Server-Stamp") == "" {
		return fmt.Sprintf("MIXED at %d ms: request %s (%s) gets status %d without X-Server-Stamp, with a body of %d bytes", r.Now(), q.ID, q.Path, status, len(body))
	}
	return ""
}

func main() { os.Exit(kit.Main(os.Args[1], run)) }
