package order_test

import (
	"bytes"
	"reflect"
	"testing"

	"lentillink.example/lentillink/order"
)

func sampleHead() order.Head {
	return order.Head{
		Claims: []order.Claim{
			{ID: order.HashOf("a"), Token: order.HashOf("x"), State: order.ClaimHeld},
			{ID: order.HashOf("b"), Token: order.HashOf("y"), State: order.ClaimDone},
			{ID: order.HashOf("c"), Token: order.HashOf("z"), State: order.ClaimReleased},
		},
		NewestIssued: start, NextSegment: 7,
		Segments:     []order.SegmentRef{{Number: 3, NewestIssued: start - 5}, {Number: 6, NewestIssued: start - 1}},
		LowWatermark: start - 9,
	}
}

// TestHeadRoundTrip guards against a field that is lost in encoding or decoding.
func TestHeadRoundTrip(t *testing.T) {
	want := sampleHead()
	got, err := order.DecodeHead(want.Encode())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// FuzzDecodeHead guards against a panic on a damaged head, and against a head that
// is accepted but changes when it is encoded again.
func FuzzDecodeHead(f *testing.F) {
	valid := sampleHead().Encode()
	f.Add(valid)
	f.Add([]byte{})
	f.Add(valid[:len(valid)-1])             // truncated
	f.Add(valid[:40])                       // truncated inside a claim
	f.Add(append([]byte{0x0a, 0x02}, 1, 2)) // short claim
	f.Add([]byte{0x28, 0x01})               // issue time without a segment
	f.Add([]byte{0x7a, 0x00})               // unknown field
	f.Add(bytes.Repeat([]byte{0xff}, 16))   // overlong varint
	f.Fuzz(func(t *testing.T, b []byte) {
		head, err := order.DecodeHead(b)
		if err != nil {
			return
		}
		reencoded, err := order.DecodeHead(head.Encode())
		if err != nil || !reflect.DeepEqual(reencoded, head) {
			t.Errorf("got %v, %v, want %v", reencoded, err, head)
		}
	})
}
