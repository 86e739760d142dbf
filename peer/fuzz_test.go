package peer_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/vm"
)

// FuzzDecode guards against a panic on bytes from another VM, and against an
// accepted message that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	id := attempt.ID{VM: "vm-1", Incarnation: 7, Seq: 9}
	for _, body := range []vm.PeerBody{
		vm.Forward{Request: attempt.Request{ID: id, Upstream: "s/g/a", Service: "s", Group: "g", Deadline: 500, Version: 3, Body: []byte("{}")}},
		vm.Result{Reply: attempt.Reply{
			ID: id, Upstream: "s/g/a", Execution: attempt.Executed, Ranges: []coverage.Range{{From: 1, To: 5}},
			Rows: []coverage.Row{{Key: 1, Value: "x"}}, HeldVersions: []uint64{1, 2},
		}},
		relay.Delegation{ID: 1, Services: []string{"a"}, Terms: relay.Terms{MaxAttempts: 2}},
		relay.Delegation{ID: 1, Services: []string{"a"}, Terms: relay.Terms{MaxAttempts: 2, Customer: "nyla", CustomerPriority: 3}},
		vm.CancelForward{ID: id, Upstream: "s/g/a"}, vm.FleetMessage{Payload: []byte("x")},
		vm.ClaimRequest{Msg: order.ClaimRequestMsg{From: "vm-1", ID: order.HashOf("a"), IssuedAt: 5, Timeout: 7}},
		vm.ClaimResponse{Msg: order.ClaimResponseMsg{Result: order.ResultExists}}, vm.AdminRequest{ID: 1, Payload: []byte("{}")}, vm.AdminResponse{ID: 1},
	} {
		data, err := proto.Marshal(peer.Encode(100, clock.Timestamp{WallMs: 100, Logical: 2}, body))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var env peerpb.Envelope
		if proto.Unmarshal(data, &env) != nil {
			return
		}
		const now = 100
		body, stamp, err := peer.Decode(now, &env)
		if err != nil {
			return
		}
		again, stampAgain, err := peer.Decode(now, peer.Encode(now, stamp, body))
		if err != nil || stamp != stampAgain || !reflect.DeepEqual(body, again) {
			t.Fatalf("%+v %v became %+v %v, %v", body, stamp, again, stampAgain, err)
		}
	})
}
