package memory_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"lentillink.example/lentillink/memory"
)

// TestMeter guards against memory that is never given back, and against connections that
// together receive more than their bound.
func TestMeter(t *testing.T) {
	const limit = 64 << 10
	var b memory.Bound
	b.Set(limit)
	for round := range 100 {
		var meters []*memory.Meter
		received := 0
		for {
			m := memory.NewMeter(&b)
			meters = append(meters, m)
			if m.Add(8<<10) != nil {
				break
			}
			received += 8 << 10
		}
		if received == 0 || received > limit {
			t.Fatalf("round %d: got %d bytes in all, want some and at most %d", round, received, limit)
		}
		for i, m := range meters {
			if i%2 == 0 {
				m.Close()
			} else {
				m.Reset()
			}
		}
	}
}

// TestMeterFree guards against small requests that are refused beside large ones.
func TestMeterFree(t *testing.T) {
	var b memory.Bound
	if err := memory.NewMeter(&b).Add(4 << 10); err != nil {
		t.Errorf("got %v for 4 KB, want nil", err)
	}
	if err := memory.NewMeter(&b).Add(8 << 10); !errors.Is(err, memory.ErrExceeded) {
		t.Errorf("got %v for 8 KB, want %v", err, memory.ErrExceeded)
	}
}

// TestMeterHold checks that a held meter keeps its memory and counts nothing until it is reset.
func TestMeterHold(t *testing.T) {
	var b memory.Bound
	b.Set(16 << 10)
	m := memory.NewMeter(&b)
	if err := m.Add(12 << 10); err != nil {
		t.Fatal(err)
	}
	m.Hold()
	if err := m.Add(1 << 20); err != nil {
		t.Errorf("got %v while held, want nil", err)
	}
	if b.Reserve(1) {
		t.Error("got memory that a held meter has, want none")
	}
	m.Reset()
	if !b.Reserve(16 << 10) {
		t.Error("got no memory after a reset, want all")
	}
}

// TestConn guards against connections that are read beyond their common bound.
func TestConn(t *testing.T) {
	const conns, limit = 32, 256 << 10
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var b memory.Bound
	b.Set(limit)
	metered := memory.Listener{Listener: lis, Bound: &b}
	defer func() { _ = lis.Close() }()
	for range conns {
		nc, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		go func() { _, _ = io.WriteString(nc, strings.Repeat("x", 1<<20)) }()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	total, failed := 0, 0
	for range conns {
		nc, err := metered.Accept()
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			data, err := io.ReadAll(nc)
			mu.Lock()
			defer mu.Unlock()
			total += len(data)
			if errors.Is(err, memory.ErrExceeded) {
				failed++
			}
		})
	}
	wg.Wait()
	if free := conns * 4 << 10; failed != conns || total > limit+free {
		t.Errorf("got %d of %d failed and %d bytes, want all and at most %d", failed, conns, total, limit+free)
	}
	if b.Reserve(limit) {
		t.Error("got memory that open connections hold, want none")
	}
}
