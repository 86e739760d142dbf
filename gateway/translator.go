package gateway

import (
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
	"lentillink.example/lentillink/store"
)

// Headers names the headers that callers, upstreams and this VM exchange.
type Headers struct {
	exchange.Headers
	Receipts string // of a gathered answer: the receipts of its parts
	Missing  string // of a gathered answer: how many shards are left out
}

// Change is what an item of the store means. At most one field is set.
type Change struct {
	Table    *route.Table
	Upstream *relay.Upstream
	VM       *relay.VM
	Presets  *preset.Record
}

// Translator decodes items of the store.
type Translator interface {
	// Prefix returns the prefix of the keys to follow.
	Prefix() string
	// Translate decodes an item. The zero Change means that the item is of no concern.
	Translate(it store.Item) (Change, error)
	// Upstream returns the upstream that a key names.
	Upstream(key string) (string, bool)
	// VM returns the VM that a key names, and VMKey the key of a VM's entry.
	VM(key string) (string, bool)
	VMKey(id string) string
}
