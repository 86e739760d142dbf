package httpstore

import "lentillink.example/lentillink/store"

// EntryDoc is the reply to a call on a key.
type EntryDoc struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// ValueDoc is the body of PUT /kv.
type ValueDoc struct {
	Value []byte `json:"value"`
}

// LeaseDoc is the reply to a call on a lease.
type LeaseDoc struct {
	ID store.LeaseID `json:"id"`
}
