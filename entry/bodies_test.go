package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestManyBodies guards against callers whose bodies never end and who together take all
// memory, or keep others from being served.
func TestManyBodies(t *testing.T) {
	const (
		conns     = 200
		bodyBytes = 1 << 20   // the largest body
		limit     = 64 << 20  // of memory for requests
		other     = 128 << 20 // for all else in this process, garbage too
	)
	f := startFleet(t, 1)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	refused, others := 0, 0
	for range conns {
		nc, err := net.Dial("tcp", f.Address(0))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_ = nc.SetDeadline(time.Now().Add(30 * time.Millisecond))
		_, _ = fmt.Fprintf(nc, "POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes-1))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			continue // its body is read on
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
			refused++
		} else {
			others++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if refused == 0 || others > 0 {
		t.Errorf("got %d refused with a time to come back and %d other answers, want some and none", refused, others)
	}
	if got := after.HeapAlloc - min(after.HeapAlloc, before.HeapAlloc); got > limit+other {
		t.Errorf("got %d MB in use, want at most %d", got>>20, (limit+other)>>20)
	}
	if _, err := f.Caller(0).Status(); err != nil {
		t.Errorf("small request beside them: got %v, want nil", err)
	}
}
