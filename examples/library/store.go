package main

import (
	"context"
	"sync"
	"time"

	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

// memoryStore implements store.Store in memory for one process. Entry VMs use no
// leases, so those methods are left to the embedded nil interface.
type memoryStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
}

// Get reads a key.
func (m *memoryStore) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key], nil
}

// Swap writes value if the key has the expected revision.
func (m *memoryStore) Swap(_ context.Context, key string, value []byte, expected uint64) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != expected {
		return store.Entry{}, store.NewError("swap", store.KindConflict, nil)
	}
	m.revision++
	m.entries[key] = store.Entry{Key: key, Value: value, Revision: m.revision}
	return m.entries[key], nil
}

// Delete removes a key if it has the expected revision.
func (m *memoryStore) Delete(_ context.Context, key string, expected uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != expected {
		return store.NewError("delete", store.KindConflict, nil)
	}
	delete(m.entries, key)
	return nil
}

// Watch waits until the key's revision exceeds after.
func (m *memoryStore) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	for ctx.Err() == nil {
		if e, _ := m.Get(ctx, key); e.Revision > after {
			return e, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return store.Entry{}, store.NewError("watch", store.KindUnavailable, ctx.Err())
}

// fixedList implements roster.List with a constant list of VMs.
type fixedList []roster.VM

// VMs returns all VMs.
func (f fixedList) VMs(context.Context) ([]roster.VM, error) { return f, nil }
