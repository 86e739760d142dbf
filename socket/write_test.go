//go:build linux

package socket_test

import (
	"net"
	"testing"
	"time"

	"lentillink.example/lentillink/socket"
)

// TestTryWrite guards against a write that waits for a peer which does not read.
func TestTryWrite(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	nc, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if n, ok := socket.Unacknowledged(nc); n != 0 || !ok {
		t.Errorf("new connection: got %d bytes, %t, want 0 and true", n, ok)
	}
	block := make([]byte, 64<<10)
	total := 0
	for begin := time.Now(); ; {
		n, err := socket.TryWrite(nc, block)
		if err != nil {
			t.Fatal(err)
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("got %d bytes written, want the buffers full", total)
		}
		if total += n; n == 0 {
			break
		}
	}
	begin := time.Now()
	if n, err := socket.TryWrite(nc, block); n != 0 || err != nil {
		t.Errorf("full buffer: got %d bytes and %v, want neither", n, err)
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("full buffer: got a write of %s, want none that waits", took)
	}
	if n, ok := socket.Unacknowledged(nc); n == 0 || !ok {
		t.Errorf("full buffer: got %d bytes, %t, want some", n, ok)
	}
	_ = nc.Close()
	if _, err := socket.TryWrite(nc, block); err == nil {
		t.Error("closed connection: got no error, want one")
	}
}
