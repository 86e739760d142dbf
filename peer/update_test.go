package peer_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// TestCompress guards against a large configuration that fills the link of its publisher,
// and against an update that changes on its way.
func TestCompress(t *testing.T) {
	var config strings.Builder
	for i := range 300 {
		_, _ = fmt.Fprintf(&config, `{"name":"shard-%d","health-path":"/health","max-connections":120},`, i)
	}
	for _, u := range []catalog.Update{
		{From: 1, To: 9, Items: []store.Item{{Key: "config", Value: []byte(config.String()), Revision: 9}, {Key: "gone", Revision: 8, Removed: true}}},
		{From: 1, To: 2, Items: []store.Item{{Key: "k", Value: []byte("v"), Revision: 2}}},
	} {
		env := peer.Encode(0, clock.Timestamp{}, peer.Compress(u))
		got, _, err := peer.Decode(0, env)
		if err != nil || !reflect.DeepEqual(got, u) {
			t.Errorf("got %+v, %v, want %+v", got, err, u)
		}
		plain, size := proto.Size(peer.Encode(0, clock.Timestamp{}, u)), proto.Size(env)
		if size > plain || plain > 10_000 && size > plain/5 {
			t.Errorf("got %d bytes for an update of %d", size, plain)
		}
	}
}

// TestEras guards against an era that is lost on its way, and against an odd one that makes
// every later one look old. A VM of an earlier release sends none.
func TestEras(t *testing.T) {
	tests := []struct {
		name string
		body vm.PeerBody
		ok   bool
	}{
		{"update", catalog.Update{FromEra: 3, From: 70, Era: 3, To: 71}, true},
		{"update across eras", catalog.Update{FromEra: 3, From: 70, Era: 4, To: 50}, true},
		{"update without an era", catalog.Update{From: 70, To: 71}, true},
		{"update to an earlier era", catalog.Update{FromEra: 4, From: 70, Era: 3, To: 71}, false},
		{"update of an odd era", catalog.Update{FromEra: 4, From: 70, Era: 1 << 60, To: 71}, false},
		{"subscription", catalog.Subscribe{Era: 3, After: 70}, true},
		{"subscription without an era", catalog.Subscribe{After: 70}, true},
		{"subscription of an odd era", catalog.Subscribe{Era: 1 << 60, After: 70}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, err := peer.Decode(0, peer.Encode(0, clock.Timestamp{}, tt.body))
			if (err == nil) != tt.ok {
				t.Fatalf("got %v, want an error %t", err, !tt.ok)
			}
			if tt.ok && !reflect.DeepEqual(got, tt.body) {
				t.Errorf("got %+v, want %+v", got, tt.body)
			}
		})
	}
}

// TestDecompressRejects guards against a short message that takes much memory, and against
// bytes that are no update.
func TestDecompressRejects(t *testing.T) {
	compress := func(data []byte) []byte {
		var out bytes.Buffer
		w, err := flate.NewWriter(&out, flate.BestCompression)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(data); err != nil || w.Close() != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	nested, err := proto.Marshal(&peerpb.Update{Compressed: compress([]byte("\x08\x01"))})
	if err != nil {
		t.Fatal(err)
	}
	const hugeBytes, maxAllocatedBytes = 256 << 20, 32 << 20
	for name, data := range map[string][]byte{
		"no DEFLATE form":       []byte("odd"),
		"no update":             compress([]byte("\xff\xff\xff")),
		"compressed twice":      compress(nested),
		"256 MB of zeroes":      compress(make([]byte, hugeBytes)),
		"ends early":            compress(make([]byte, 1000))[:5],
		"update without a key":  compress([]byte("\x1a\x02\x18\x01")),
		"revision out of range": compress([]byte("\x10\xff\xff\xff\xff\xff\xff\xff\xff\x7f")),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got, _, err := peer.Decode(0, &peerpb.Envelope{Body: &peerpb.Envelope_Update{Update: &peerpb.Update{Compressed: data}}})
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocatedBytes {
			t.Errorf("%s: allocated %d bytes, want at most %d", name, n, maxAllocatedBytes)
		}
	}
}

// TestMeshQueuedUpdates guards against a VM that runs out of memory because of large values of
// the store that it publishes, while a subscriber does not read.
func TestMeshQueuedUpdates(t *testing.T) {
	const updates, valueBytes, most = 64, 1 << 20, 4
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	a := startVM(t, "vm-a")
	random := make([]byte, valueBytes) // not to be compressed
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	update := func(to uint64) catalog.Update {
		return catalog.Update{From: to - 1, To: to, Items: []store.Item{{Key: "op/config", Value: random, Revision: to}}}
	}
	for name, body := range map[string]func(uint64) vm.PeerBody{
		"plain":      func(to uint64) vm.PeerBody { return update(to) },
		"compressed": func(to uint64) vm.PeerBody { return peer.Compress(update(to)) },
	} {
		t.Run(name, func(t *testing.T) {
			queued := 0
			for to := range uint64(updates) {
				if a.mesh.TrySend(name, lis.Addr().String(), clock.Timestamp{}, body(to+1)) {
					queued++
				}
			}
			if queued == 0 || queued > most {
				t.Errorf("got %d updates of 1 MB queued, want 1 to %d", queued, most)
			}
			if !a.mesh.TrySend(name, "", clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hi")}) {
				t.Error("got a small message refused, want it queued")
			}
		})
	}
}

// TestMeshSendsUpdates guards against a peer that gets no more updates after as many as may be
// queued at once.
func TestMeshSendsUpdates(t *testing.T) {
	a, b := startVM(t, "vm-a"), startVM(t, "vm-b")
	value := make([]byte, 1<<20)
	for to := range uint64(20) {
		u := catalog.Update{From: to, To: to + 1, Items: []store.Item{{Key: "op/config", Value: value, Revision: to + 1}}}
		if !a.mesh.TrySend("vm-b", b.addr, clock.Timestamp{}, u) {
			t.Fatalf("update %d is refused", to+1)
		}
		await(t, b.recorder.received, "update")
	}
}
