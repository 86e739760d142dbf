package peer_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/vm"
)

// notUTF8 is a value that a caller or an upstream may send in a header.
const notUTF8 = "a\xff\xfe\xc3("

// TestNotUTF8 guards against a stream that ends, with all other requests on it, because a
// field of one message is not UTF-8.
func TestNotUTF8(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	terms := relay.Terms{Route: "search", TargetMs: 100, MaxAttempts: 2}
	send := func(body vm.PeerBody) { a.mesh.Send("vm-b", b.addr, clock.Timestamp{}, body) }
	for _, body := range []vm.PeerBody{
		relay.Delegation{ID: 1, Name: notUTF8, Head: []byte(notUTF8), Body: []byte(notUTF8), RemainingMs: 100, Services: []string{"s"}, Terms: terms},
		relay.DelegationResult{ID: 1, Answer: relay.Answer{Outcome: relay.Gathered, Receipts: []string{"r", notUTF8}}},
	} {
		send(vm.FleetMessage{Payload: []byte("before")})
		send(body)
		send(vm.FleetMessage{Payload: []byte("after")})
		for _, want := range []string{"vm-a:before", "vm-a:" + payloadOf(body), "vm-a:after"} {
			if got := await(t, b.recorder.received, want); got != want {
				t.Errorf("%T: got %q, want %q", body, got, want)
			}
		}
	}
	select {
	case <-a.recorder.disconnected:
		t.Error("got the end of the stream, want it open")
	default:
	}
}

// FuzzEncode checks that each field which comes from a caller or an upstream arrives as it is.
func FuzzEncode(f *testing.F) {
	for _, s := range []string{"", "r-1", notUTF8, "\x00", "é"} {
		f.Add(s, []byte(s))
	}
	f.Fuzz(func(t *testing.T, text string, data []byte) {
		roundTrip := func(body vm.PeerBody) vm.PeerBody {
			t.Helper()
			wire, err := proto.Marshal(peer.Encode(0, clock.Timestamp{}, body))
			if err != nil {
				t.Fatalf("%T: %v", body, err)
			}
			var env peerpb.Envelope
			if err := proto.Unmarshal(wire, &env); err != nil {
				t.Fatalf("%T: %v", body, err)
			}
			out, _, err := peer.Decode(0, &env)
			if err != nil {
				t.Fatalf("%T: %v", body, err)
			}
			return out
		}
		d, ok := roundTrip(relay.Delegation{ID: 1, Name: text, Head: data, Body: data, RemainingMs: 100, Services: []string{"s"}, Terms: relay.Terms{MaxAttempts: 2}}).(relay.Delegation)
		if !ok || d.Name != text || string(d.Head) != string(data) || string(d.Body) != string(data) {
			t.Errorf("got %+v, want name %q and body %q", d, text, data)
		}
		r, ok := roundTrip(relay.DelegationResult{ID: 1, Answer: relay.Answer{Outcome: relay.Gathered, Body: data, Receipts: []string{text}}}).(relay.DelegationResult)
		if !ok || r.Answer.Receipts[0] != text || string(r.Answer.Body) != string(data) {
			t.Errorf("got %+v, want receipt %q and body %q", r, text, data)
		}
	})
}
