package peer_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/vm"
)

func hello(name string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{Vm: name, Incarnation: 1}}}
}

// openRaw opens a connection to a VM and sends a hello on it.
func openRaw(t *testing.T, b *testVM, name string) (net.Conn, peerpb.DRPCPeer_ExchangeClient) {
	t.Helper()
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	s, err := peerpb.NewDRPCPeerClient(drpcconn.New(nc)).Exchange(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(hello(name)); err != nil {
		t.Fatal(err)
	}
	return nc, s
}

// TestMeshGreatMessages guards against messages on many streams that together take more
// memory than they may, and against sound streams that end because of them.
func TestMeshGreatMessages(t *testing.T) {
	const memoryBytes, streams = 1 << 20, 8
	b := startVM(t, "vm-b", peer.WithMemory(memoryBytes))
	a := startVM(t, "vm-a")
	payload := bytes.Repeat([]byte("x"), 300<<10)
	send := func(text []byte) {
		t.Helper()
		a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: text})
		if got, want := await(t, b.recorder.received, "message at b"), "vm-a:"+string(text); got != want {
			t.Fatalf("b received %d bytes, want %d", len(got), len(want))
		}
	}
	send([]byte("before"))
	for range 20 {
		send(payload) // one after the other, they use the same memory
	}
	ended := 0
	for i := range streams {
		_, s := openRaw(t, b, fmt.Sprint("vm-odd-", i))
		if _, err := s.Recv(); err != nil { // the hello of b
			t.Fatal(err)
		}
		_ = s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Fleet{Fleet: bytes.Repeat([]byte("x"), 3<<20)}})
		if _, err := s.Recv(); err != nil {
			ended++
		}
	}
	if ended != streams {
		t.Errorf("got %d of %d streams with great messages ended, want all", ended, streams)
	}
	send([]byte("after"))
}

// TestMeshHello guards against connections without a hello that stay open, and against
// streams that are taken for such.
func TestMeshHello(t *testing.T) {
	const timeout clock.Millis = 100
	b := startVM(t, "vm-b", peer.WithHelloTimeout(timeout))
	silent, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	invoked, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	invokedConn := drpcconn.New(invoked)
	if _, err := peerpb.NewDRPCPeerClient(invokedConn).Exchange(t.Context()); err != nil {
		t.Fatal(err)
	}
	greatName, _ := openRaw(t, b, string(bytes.Repeat([]byte("x"), 1000)))
	_, sound := openRaw(t, b, "vm-a")
	if _, err := sound.Recv(); err != nil {
		t.Fatalf("hello: got %v, want that of b", err)
	}
	for name, nc := range map[string]net.Conn{"silent": silent, "great name": greatName} {
		_ = nc.SetReadDeadline(time.Now().Add(waitLimit))
		if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: connection is still open after %s", name, waitLimit)
		}
		_ = nc.Close()
	}
	select {
	case <-invokedConn.Closed():
	case <-time.After(waitLimit):
		t.Errorf("stream without a hello: connection is still open after %s", waitLimit)
	}
	time.Sleep(3 * timeout.Duration())
	if err := sound.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Fleet{Fleet: []byte("hi")}}); err != nil {
		t.Errorf("stream with a hello: got %v, want it open", err)
	}
	if got, want := await(t, b.recorder.received, "message at b"), "vm-a:hi"; got != want {
		t.Errorf("b received %q, want %q", got, want)
	}
}

// TestMeshManyStreams guards against a VM in trouble that opens streams without end, and
// against one that cannot open any more after its earlier ones have ended.
func TestMeshManyStreams(t *testing.T) {
	const most = 4
	b := startVM(t, "vm-b")
	for range 3 {
		var conns []net.Conn
		open := 0
		openStream := func() {
			nc, s := openRaw(t, b, "vm-odd")
			conns = append(conns, nc)
			if _, err := s.Recv(); err != nil {
				return
			}
			open++
			// Until the stream is served its end is not reported.
			if err := s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Fleet{Fleet: []byte("hi")}}); err != nil {
				t.Fatal(err)
			}
			if got, want := await(t, b.recorder.received, "message on a stream"), "vm-odd:hi"; got != want {
				t.Errorf("got message %s, want %s", got, want)
			}
		}
		for deadline := time.Now().Add(waitLimit); open < most && time.Now().Before(deadline); {
			openStream() // refused until the earlier ones are no longer counted
		}
		for range 3 * most {
			openStream()
		}
		if open != most {
			t.Errorf("got %d streams of one VM, want %d", open, most)
		}
		for _, nc := range conns {
			_ = nc.Close()
		}
		for range open {
			await(t, b.recorder.disconnected, "end of a stream")
		}
	}
}
