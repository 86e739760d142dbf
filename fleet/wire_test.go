package fleet_test

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
)

// samplePayloads returns payloads of every kind, recorded in a short simulation.
func samplePayloads() [][]byte {
	f := experiment.NewFleet(1, 5)
	var list [][]byte
	seen := make(map[byte]int)
	f.OnSend = func(p []byte) {
		if kind := p[1]; seen[kind] < 20 {
			seen[kind]++
			list = append(list, p)
		}
	}
	f.StartAll(100)
	f.RunFor(8 * clock.Second)
	f.LossPercent = 30
	f.Deliver(f.VMs[0], fleet.UpstreamLeavingMsg{Upstream: "a/b/c", Leaving: true})
	f.RunFor(20 * clock.Second)
	rec := f.VMs[0].Model.Record()
	rec.Revision++
	f.Deliver(f.VMs[0], fleet.RecordMsg{Record: rec})
	f.RunFor(clock.Second)
	return list
}

// newModel returns a started model that accepts the payloads of samplePayloads.
func newModel() *fleet.Model {
	m := fleet.New(fleet.WithSelf(fleet.VM{ID: "vm-0001", Incarnation: 1}), fleet.WithSeed(1))
	m.Update(1_700_000_000_000, fleet.TickMsg{})
	return m
}

// deliver passes a payload to m and checks that the resulting records and messages are valid.
func deliver(t interface {
	Helper()
	Errorf(string, ...any)
}, m *fleet.Model, payload []byte,
) {
	t.Helper()
	for _, c := range m.Update(1_700_000_000_500, fleet.PeerMsg{From: "vm-0002", Payload: payload}) {
		switch c := c.(type) {
		case fleet.RecordCmd:
			if err := c.Record.Validate(); err != nil {
				t.Errorf("an invalid record is in force: %v", err)
			}
		case fleet.SendCmd:
			if err := fleet.CheckPayload(c.Payload); err != nil {
				t.Errorf("a sent payload does not decode: %v", err)
			}
		}
	}
}

// TestCorruptedPayloads guards against a panic or an invalid record caused by a corrupted message.
func TestCorruptedPayloads(t *testing.T) {
	payloads := samplePayloads()
	kinds := make(map[byte]bool)
	for _, p := range payloads {
		kinds[p[1]] = true
		if err := fleet.CheckPayload(p); err != nil {
			t.Fatalf("valid payload rejected: %v", err)
		}
	}
	if len(kinds) != 8 {
		t.Fatalf("got payloads of %d kinds, want 8", len(kinds))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 10).Draw(t, "messages") {
			p := bytes.Clone(rapid.SampledFrom(payloads).Draw(t, "payload"))
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				p[rapid.IntRange(0, len(p)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
			deliver(t, m, p[:rapid.IntRange(0, len(p)).Draw(t, "cut")])
		}
	})
}

// TestDecoderBounds guards against payloads that cause unbounded memory use.
func TestDecoderBounds(t *testing.T) {
	ping := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 1)
	vm := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "x")
	field := func(num protowire.Number, b []byte) []byte {
		return protowire.AppendBytes(protowire.AppendTag(bytes.Clone(ping), num, protowire.BytesType), b)
	}
	var manyUpdates []byte
	for range 300 {
		manyUpdates = protowire.AppendBytes(protowire.AppendTag(manyUpdates, 6, protowire.BytesType), vm)
	}
	tests := []struct {
		name    string
		payload []byte
		want    fleet.Kind
	}{
		{"empty", nil, fleet.KindMalformed},
		{"too long", make([]byte, 1<<17), fleet.KindTooLarge},
		{"unknown kind", []byte{8, 99}, fleet.KindMalformed},
		{"too many updates", append(bytes.Clone(ping), manyUpdates...), fleet.KindTooLarge},
		{"long chunk", field(12, make([]byte, 20_000)), fleet.KindTooLarge},
		{"short digest", field(8, make([]byte, 8)), fleet.KindMalformed},
		{"long name", field(3, make([]byte, 200)), fleet.KindTooLarge},
		{"member without identifier", field(6, nil), fleet.KindMalformed},
		{"unknown state", field(6, append(bytes.Clone(vm), 6<<3, 9)), fleet.KindTooLarge},
		{"cut", field(6, vm)[:6], fleet.KindMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e *fleet.Error
			if err := fleet.CheckPayload(tt.payload); !errors.As(err, &e) || e.Kind() != tt.want {
				t.Errorf("got %v, want kind %d", err, tt.want)
			}
		})
	}
}

// TestLargeRecordIsSentInChunks guards against a record larger than one message that
// does not reach every VM complete, with 5% message loss.
func TestLargeRecordIsSentInChunks(t *testing.T) {
	f := joinedFleet(t, 10)
	f.Store.Fail()
	f.LossPercent = 5
	rec := f.VMs[0].Model.Record()
	rec.Revision++
	for i := range 60 {
		p := rec.Presets[0]
		p.Name = "extra-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		noise := make([]byte, 500)
		for j := range noise { // text with a low compression ratio
			noise[j] = byte('!' + (i*7919+j*j*31+j*i*17)%90)
		}
		p.Description = string(noise)
		rec.Presets = append(rec.Presets, p)
	}
	if err := rec.Validate(); err != nil {
		t.Fatal(err)
	}
	f.Deliver(f.VMs[0], fleet.RecordMsg{Record: rec})
	waitUntil(t, f, 4*clock.Second, "large record", func() bool {
		return f.All(func(n *experiment.FleetVM) bool { return n.Model.Record().Revision == rec.Revision })
	})
	if got := preset.Diff(rec, f.VMs[7].Model.Record()); len(got) != 0 {
		t.Errorf("the received record differs from the sent one: %v", got)
	}
}

func FuzzPayload(f *testing.F) {
	for _, p := range samplePayloads() {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, p []byte) { deliver(t, newModel(), p) })
}
