package peer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// BenchmarkStreams measures the memory and goroutines per end of a stream, while
// one VM has a stream to each of many others.
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
	hub := startVM(b, "hub")
	peers := make([]*testVM, n)
	for i := range peers {
		peers[i] = startVM(b, fmt.Sprintf("vm-%d", i))
	}
	memoryBefore, goroutinesBefore := resourcesInUse()
	for i, p := range peers {
		hub.mesh.Send(fmt.Sprintf("vm-%d", i), p.addr, clock.Timestamp{}, vm.FleetMessage{Payload: []byte("hello")})
	}
	for _, p := range peers {
		select {
		case <-p.recorder.received:
		case <-time.After(waitLimit):
			b.Fatal("no message arrived")
		}
	}
	memoryAfter, goroutinesAfter := resourcesInUse()
	ends := float64(2 * n)
	b.ReportMetric((memoryAfter-memoryBefore)/ends, "bytes/end")
	b.ReportMetric(float64(goroutinesAfter-goroutinesBefore)/ends, "goroutines/end")
	for _, p := range peers {
		p.stop()
	}
	hub.stop()
}

// resourcesInUse returns the bytes of heap and stacks in use, and the number of
// goroutines.
func resourcesInUse() (float64, int) {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse), runtime.NumGoroutine()
}
