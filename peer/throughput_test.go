package peer_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// BenchmarkThroughput measures how fast one stream carries forwarded requests from
// one VM to another.
func BenchmarkThroughput(b *testing.B) {
	const burst = 64
	from, to := startVM(b, "from"), startVM(b, "to")
	body := vm.Forward{Request: attempt.Request{Upstream: "search/g/0", Service: "search", Group: "g", Body: make([]byte, 100)}}
	b.ReportAllocs()
	for sent := 0; sent < b.N; sent += burst {
		for range burst {
			from.mesh.Send("to", to.addr, clock.Timestamp{}, body)
		}
		for range burst {
			<-to.recorder.received
		}
	}
}
