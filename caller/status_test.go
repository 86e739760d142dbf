package caller_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/platform/standin"
)

// TestInvalidStatus guards against an answer, or a VM that counts as ready, by a reply whose
// status is none.
func TestInvalidStatus(t *testing.T) {
	for _, tt := range []struct {
		status string
		want   bool // whether it is an answer
	}{{"200", true}, {"000", false}, {"099", false}} {
		t.Run(tt.status, func(t *testing.T) {
			c := caller.New(serveReply(t, "HTTP/1.1 "+tt.status+" OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"))
			for range 2 {
				if got := c.Ready(); got != tt.want {
					t.Errorf("ready: got %t, want %t", got, tt.want)
				}
				_, err := c.Status()
				var callErr *caller.Error
				if unavailable := errors.As(err, &callErr) && callErr.Kind() == caller.KindUnavailable; unavailable == tt.want {
					t.Errorf("status: got %v, want an answer %t", err, tt.want)
				}
			}
		})
	}
}

// serveReply starts a server that sends one reply on each connection, and returns its address.
func serveReply(t *testing.T, reply string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var server sync.WaitGroup
	t.Cleanup(func() { _ = lis.Close(); server.Wait() })
	server.Go(func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, reply)
			}
			_ = nc.Close()
		}
	})
	return lis.Addr().String()
}

// TestFramings guards against an answer that the command line refuses because of the form that
// a VM, or a balancer before it, has chosen for it.
func TestFramings(t *testing.T) {
	for _, f := range standin.Framings {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			c := caller.New(serveReply(t, f.Reply(http.StatusOK, "", `{"preset":"peak"}`)))
			got, err := c.Status()
			if err != nil || got.Preset != "peak" {
				t.Errorf("got preset %q, %v, want peak", got.Preset, err)
			}
		})
	}
}
