package httpcall_test

import (
	"strings"
	"sync/atomic"
	"testing"
)

// TestCutHead guards against a reply whose head ends early, with the connection, and that is
// taken for a whole one with an empty body.
func TestCutHead(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"line feeds":    "HTTP/1.1 200 OK\nContent-Length: 2\n\n",
		"until the end": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int64
			address, _ := startServer(t, func(int64) string { return head[:cut.Load()] }, func(int64) bool { return true })
			h := newHost(t, address)
			for cut.Load() < int64(len(head)) {
				if err := doCall(t, h, nil); err == nil {
					t.Errorf("cut after %q: got a reply, want an error", head[:cut.Load()])
				}
				cut.Add(1)
			}
		})
	}
}
