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
	Receipts      string // of a gathered answer: the receipts of its parts
	MissingShards string // of a gathered answer: how many shards are left out
}

// DecodedItem is what an item of the store means. At most one field is set.
type DecodedItem struct {
	Table    *route.Table
	Upstream *relay.Upstream
	VM       *relay.VM
	Presets  *preset.Record
}

// ItemDecoder decodes items of the store.
type ItemDecoder interface {
	// Prefix returns the prefix of the keys to follow.
	Prefix() string
	// Decode decodes an item. The zero Change means that the item is of no concern.
	Decode(item store.Item) (DecodedItem, error)
	// UpstreamID returns the upstream that a key names.
	UpstreamID(key string) (string, bool)
	// VMID returns the VM that a key names, and VMKey the key of a VM's entry.
	VMID(key string) (string, bool)
	VMKey(id string) string
}
