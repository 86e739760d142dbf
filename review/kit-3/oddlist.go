package main

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/platform/standin"
)

// oddEntries is the number of entries of the other writer.
const oddEntries = 20

// oddList has another writer write large entries that cannot be read, once each, before a
// deployment starts for the first time.
func oddList(r *run) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	proxy := newStoreProxy(store.Address()) // for the length of the pages of a list
	defer proxy.close()
	if r.trouble {
		noise := rand.NewChaCha8([32]byte{})
		for n := range oddEntries {
			value := make([]byte, valueBytes)
			_, _ = noise.Read(value)
			store.PutRaw(fmt.Sprintf("servers/odd-%d", n+1), value)
		}
		r.add("another writer has written %d entries below servers/, each once: %d bytes that cannot be read", oddEntries, valueBytes)
	}
	served, err := firstStart(r, store, proxy.address())
	return served == 0, err
}
