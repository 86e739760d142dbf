package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/vm"
)

// waitLimit bounds the wait for an expected event.
const waitLimit = 10 * time.Second

// recorder is a Handler that records messages and events.
type recorder struct {
	received     chan string
	unsent       chan string
	disconnected chan string
	malformed    chan string
}

func newRecorder() *recorder {
	return &recorder{received: make(chan string, 4096), unsent: make(chan string, 4096), disconnected: make(chan string, 64), malformed: make(chan string, 64)}
}

func (r *recorder) Received(from string, _ clock.Timestamp, body vm.PeerBody) {
	r.received <- fmt.Sprintf("%s:%s", from, payloadOf(body))
}
func (r *recorder) Malformed(from string, _ error)    { r.malformed <- from }
func (r *recorder) Unsent(_ string, body vm.PeerBody) { r.unsent <- payloadOf(body) }
func (r *recorder) Disconnected(peer string)          { r.disconnected <- peer }

func payloadOf(body vm.PeerBody) string {
	if f, ok := body.(vm.FleetMessage); ok {
		return string(f.Payload)
	}
	return fmt.Sprintf("%T", body)
}

// await returns the next value of ch. expected describes it in the failure message.
func await(t *testing.T, ch <-chan string, expected string) string {
	t.Helper()
	select {
	case got := <-ch:
		return got
	case <-time.After(waitLimit):
		t.Fatalf("no %s within %s", expected, waitLimit)
		return ""
	}
}

type testVM struct {
	mesh     *peer.Mesh
	recorder *recorder
	addr     string
	stop     func()
}

func startVM(t testing.TB, name string, opts ...peer.Option) *testVM {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &testVM{recorder: newRecorder(), addr: lis.Addr().String()}
	n.mesh = peer.New(name, 1, n.recorder, opts...)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- n.mesh.Run(ctx, lis) }()
	n.stop = func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Errorf("Run: %v", err)
		}
	}
	t.Cleanup(cancel)
	return n
}

// TestMeshRepliesOnSameStream guards against a reply that needs a second
// connection: the address of vm-a that vm-b is given refuses connections.
func TestMeshRepliesOnSameStream(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")})
	if got, want := await(t, b.recorder.received, "message at b"), "vm-a:hi"; got != want {
		t.Fatalf("b received %q, want %q", got, want)
	}
	b.mesh.Send("vm-a", "127.0.0.1:1", clock.Timestamp{}, vm.FleetMessage{Payload: []byte("back")})
	if got, want := await(t, a.recorder.received, "message at a"), "vm-b:back"; got != want {
		t.Fatalf("a received %q, want %q", got, want)
	}
}

// TestMeshSendBeforeRun guards against a stream that was opened before Run and keeps Run
// from returning until the stream is idle.
func TestMeshSendBeforeRun(t *testing.T) {
	b := startVM(t, "vm-b")
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := peer.New("vm-a", 1, newRecorder())
	a.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")})
	await(t, b.recorder.received, "message at b")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx, lis) }()
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitLimit):
		t.Errorf("Run has not returned within %s", waitLimit)
	}
}

// TestMeshReportsUnsent guards against a message that was never sent but is
// reported as possibly received, or not reported at all.
func TestMeshReportsUnsent(t *testing.T) {
	refuse := func(string, clock.Millis) (net.Conn, error) { return nil, errors.New("refused") }
	a := startVM(t, "vm-a", peer.WithDialer(refuse))
	a.mesh.Send("vm-b", "127.0.0.1:1", clock.Timestamp{}, vm.FleetMessage{Payload: []byte("lost")})
	if got, want := await(t, a.recorder.unsent, "unsent report"), "lost"; got != want {
		t.Errorf("unsent = %q, want %q", got, want)
	}
}

// TestMeshWrongPeer guards against delivery to the wrong VM, after the address of
// one VM was reassigned to another.
func TestMeshWrongPeer(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	a.mesh.Send("vm-c", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("for c")})
	if got, want := await(t, a.recorder.unsent, "unsent report"), "for c"; got != want {
		t.Errorf("unsent = %q, want %q", got, want)
	}
}

// TestMeshReportsDisconnect guards against a VM whose stop is not reported, so that
// senders wait forever for its replies.
func TestMeshReportsDisconnect(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")})
	await(t, b.recorder.received, "message at b")
	b.stop()
	if got, want := await(t, a.recorder.disconnected, "disconnect report"), "vm-b"; got != want {
		t.Errorf("disconnected = %q, want %q", got, want)
	}
}

// TestMeshConnect guards against a stream that is opened only by its first message,
// and against a missing report when a peer disconnects before any message was sent.
func TestMeshConnect(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.mesh.Connect("b", b.addr)
	for end := time.Now().Add(waitLimit); b.mesh.NumStreams() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("b has no stream within %s", waitLimit)
		}
	}
	b.stop()
	if got := await(t, a.recorder.disconnected, "disconnect report"); got != "b" {
		t.Errorf("disconnected = %q, want b", got)
	}
}

// TestMeshConcurrentSendKeepsOrder guards against reordered or lost messages
// while both sides open a stream at the same time.
func TestMeshConcurrentSendKeepsOrder(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	const n = 500
	for i := range n {
		a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: fmt.Appendf(nil, "%d", i)})
		b.mesh.Send("vm-a", a.addr, clock.Timestamp{}, vm.FleetMessage{Payload: fmt.Appendf(nil, "%d", i)})
	}
	for i := range n {
		if got, want := await(t, b.recorder.received, "message at b"), fmt.Sprintf("vm-a:%d", i); got != want {
			t.Fatalf("b received %q, want %q", got, want)
		}
		if got, want := await(t, a.recorder.received, "message at a"), fmt.Sprintf("vm-b:%d", i); got != want {
			t.Fatalf("a received %q, want %q", got, want)
		}
	}
}

// TestCodecRoundTrip guards against a field of a request, reply or cancellation that
// the encoding loses.
func TestCodecRoundTrip(t *testing.T) {
	id := rapid.Custom(func(t *rapid.T) attempt.ID {
		return attempt.ID{VM: rapid.String().Draw(t, "vm"), Incarnation: rapid.Uint64().Draw(t, "inc"), Seq: rapid.Uint64().Draw(t, "seq")}
	})
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(1_000_000)
		req := vm.Forward{Request: attempt.Request{
			ID: id.Draw(t, "id"), Upstream: "s/g/0", Kind: attempt.Order, Service: "s", Group: "g",
			Rank: rank.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), Priority: rapid.Uint32().Draw(t, "priority"),
			Deadline: now + clock.Millis(rapid.IntRange(-10, 100000).Draw(t, "budget")),
			Version:  rapid.Uint64().Draw(t, "version"), Body: []byte("b"), OrderID: rapid.String().Draw(t, "order"),
			Customer: rapid.String().Draw(t, "customer"),
		}}
		reply := vm.Result{Reply: attempt.Reply{
			ID: id.Draw(t, "id"), Upstream: "s/g/1", Status: attempt.Shed, Execution: attempt.NotExecuted, Version: 3, Epoch: 4,
			Ranges: []coverage.Range{{From: 1, To: 5}}, HeldVersions: []uint64{2, 3}, Rows: []coverage.Row{{Key: 1, Value: "v"}},
			Body: []byte("x"), Leaving: true, QueueMs: 5, ServiceMs: 6, RetryAfter: 7,
		}}
		for _, want := range []vm.PeerBody{req, reply, vm.CancelForward{ID: id.Draw(t, "id"), Upstream: "u"}} {
			got, _, err := peer.Decode(now, peer.Encode(now, clock.Timestamp{}, want))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("round trip = %+v, want %+v", got, want)
			}
		}
	})
}

// TestMeshSkipsMalformed guards against a stream, and with it all work that was
// delegated over it, that ends because one message cannot be decoded.
func TestMeshSkipsMalformed(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, relay.Delegation{ID: 1, RemainingMs: -1})
	a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")})
	if got, want := await(t, b.recorder.malformed, "report of the malformed message"), "vm-a"; got != want {
		t.Errorf("malformed message from %q, want %q", got, want)
	}
	if got, want := await(t, b.recorder.received, "message at b"), "vm-a:hi"; got != want {
		t.Errorf("b received %q, want %q", got, want)
	}
	if got := len(b.recorder.disconnected); got != 0 {
		t.Errorf("%d streams ended, want 0", got)
	}
}

// TestMeshSendWhileStopping guards against a stream that is dialed while the Mesh waits for
// its streams to end, which is a data race, and against a message without a report.
func TestMeshSendWhileStopping(t *testing.T) {
	for range 100 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r := newRecorder()
		m := peer.New("vm-a", 1, r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx, lis) }()
		const messages = 20
		go cancel()
		for i := range messages {
			m.Send(fmt.Sprint("vm-", i), "127.0.0.1:1", clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")})
		}
		if err := <-done; err != nil {
			t.Errorf("Run: got %v, want nil", err)
		}
		for range messages {
			await(t, r.unsent, "report of an unsent message")
		}
	}
}
