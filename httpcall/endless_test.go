package httpcall_test

import (
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/platform/standin"
)

// TestEndlessReplies guards against hosts that reply without end, many at once, and together
// take more memory than replies may.
func TestEndlessReplies(t *testing.T) {
	const hosts, limit, timeout = 64, 16 << 20, 300 * time.Millisecond
	defer debug.SetGCPercent(debug.SetGCPercent(10)) // what is measured is mostly in use
	for _, tt := range standin.EndlessReplies {
		t.Run(tt.Name, func(t *testing.T) {
			var bound memory.Bound
			bound.Set(limit)
			var all []*httpcall.Host
			for range hosts {
				lis, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = lis.Close() }()
				go standin.ServeEndlessly(lis, tt.EndlessReply)
				h := httpcall.New(lis.Addr().String(), httpcall.WithMemory(&bound))
				defer h.Close()
				all = append(all, h)
			}
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			ended := make(chan error, hosts)
			for _, h := range all {
				go func() {
					_, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodGet, Path: "/x", Timeout: timeout}, nil)
					ended <- err
				}()
			}
			peak := uint64(0)
			sample := time.NewTicker(2 * time.Millisecond)
			defer sample.Stop()
			sound := 0
			for left := hosts; left > 0; {
				select {
				case err := <-ended:
					left--
					if err == nil {
						sound++
					}
				case <-sample.C:
					runtime.ReadMemStats(&now)
					peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
				}
			}
			t.Logf("peak of %d KB", peak>>10)
			const other = 4 << 20 // buffers of 64 connections and their other ends
			if peak > limit+other {
				t.Errorf("got a peak of %d KB, want at most %d", peak>>10, (limit+other)>>10)
			}
			if sound > 0 && !strings.HasPrefix(tt.Name, "body of 8 MB") {
				t.Errorf("got %d replies, want none", sound)
			}
			if !bound.Reserve(limit) {
				t.Error("got memory that is still reserved after the calls, want none")
			}
		})
	}
}
