package peer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// BenchmarkStreams reports the memory and goroutines of one end of a stream
// while one VM has a stream with each of many others.
func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{10, 30, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				benchStreams(b, n)
			}
		})
	}
}

func benchStreams(b *testing.B, n int) {
	hub := startNode(b, "hub")
	peers := make([]*node, n)
	for i := range peers {
		peers[i] = startNode(b, fmt.Sprintf("vm-%d", i))
	}
	memory, goroutines := inUse()
	for i, p := range peers {
		hub.mesh.Send(fmt.Sprintf("vm-%d", i), p.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hello")})
	}
	for _, p := range peers {
		select {
		case <-p.rec.received:
		case <-time.After(waitLimit):
			b.Fatal("no message arrived")
		}
	}
	grew, more := inUse()
	ends := float64(2 * n)
	b.ReportMetric((grew-memory)/ends, "bytes/end")
	b.ReportMetric(float64(more-goroutines)/ends, "goroutines/end")
	for _, p := range peers {
		p.stop()
	}
	hub.stop()
}

// inUse returns the bytes of heap and stacks in use, and the number of goroutines.
func inUse() (float64, int) {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse), runtime.NumGoroutine()
}
