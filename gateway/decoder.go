package gateway

import (
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
	"lentillink.example/lentillink/store"
)

// Headers holds the names of the headers that callers, upstreams and this VM exchange.
type Headers struct {
	exchange.Headers
	Receipts      string // of a gathered answer: the receipts of its sub-requests
	MissingShards string // of a gathered answer: the number of shards that are missing

	// Credential holds the caller's key, after CredentialScheme. It is not forwarded.
	Credential       string
	CredentialScheme string
}

// DecodedItem is the decoded value of an item of the store. At most one field is set.
type DecodedItem struct {
	Table     *route.Table
	Upstream  *relay.Upstream
	VM        *relay.VM
	Presets   *preset.Record
	Claim     *quota.Claim
	Era       *era.Record
	Evacuated string // data centre whose upstreams must get nothing new while the item exists
}

// ItemDecoder decodes items of the store.
type ItemDecoder interface {
	// Prefixes returns the prefixes of the keys to read, in the order in which a list reads them.
	Prefixes() []string
	// Decode decodes an item. The zero DecodedItem means that the gateway ignores the item.
	Decode(item store.Item) (DecodedItem, error)
	// UpstreamID returns the ID of the upstream that a key names.
	UpstreamID(key string) (string, bool)
	// VMID returns the ID of the VM that a key names.
	VMID(key string) (string, bool)
	// EvacuatedDataCentre returns the data centre that is evacuated while a key exists.
	EvacuatedDataCentre(key string) (string, bool)
	// ClaimGroup returns the group of customers whose claim a key holds.
	ClaimGroup(key string) (int, bool)
	// ClaimKey returns the key of a group's claim.
	ClaimKey(group int) string
	// VMKey returns the key of a VM's entry.
	VMKey(id string) string
	// IsEra reports whether a key is that of the record of the settled era.
	IsEra(key string) bool
	// IsPresets reports whether a key is that of the preset record.
	IsPresets(key string) bool
}
