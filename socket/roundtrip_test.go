package socket_test

import (
	"context"
	"net"
	"testing"

	"lentillink.example/lentillink/socket"
)

// TestRoundTripTime guards against an estimate in the wrong unit. Since it is subtracted
// from the time for a request, one that is too large leaves no time, and one that is
// too small makes answers late.
func TestRoundTripTime(t *testing.T) {
	lis, err := socket.ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		nc, err := lis.Accept()
		if err != nil {
			nc = nil
		}
		accepted <- nc
	}()
	nc, err := socket.Dialer().Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	server := <-accepted
	if server == nil {
		t.Fatal("got no connection")
	}
	defer func() { _ = server.Close() }()
	// A round trip on the loopback interface takes far less than a second, even under load.
	if got, ok := socket.RoundTripTime(server); ok && (got < 1 || got > 1000) {
		t.Errorf("got a round trip of %d ms, want 1 to 1000", got)
	}
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	if got, ok := socket.RoundTripTime(a); ok {
		t.Errorf("got a round trip of %d ms on a pipe, want none", got)
	}
}
