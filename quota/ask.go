package quota

import "lentillink.example/lentillink/clock"

// Ask asks a VM for credit of several customers. One with returned credit only has no
// answer.
type Ask struct {
	ID      uint64 // of the sender
	Entries []AskEntry

	// Forwarded is set by a deputy that asks for another VM.
	Forwarded bool
}

// AskEntry asks for the credit of one customer.
type AskEntry struct {
	Limit    Limit // as the sender knows it
	Want     int   // requests that wait for credit
	Ahead    int   // credit for requests that are expected soon
	Returned int   // main credit that was not used
}

// Grant answers an Ask, with an entry for each customer that it wants credit for.
type Grant struct {
	ID      uint64 // of the Ask
	Entries []GrantEntry
}

// Source says where credit comes from.
type Source uint8

// The sources of credit.
const (
	// SourceNone means that the sender may grant nothing, or not yet.
	SourceNone Source = iota
	// SourceOwner means that the sender is the owner. Credit that is missing is used up.
	SourceOwner
	// SourceReserve means that the sender is a deputy.
	SourceReserve

	// SourceCount is the number of sources.
	SourceCount
)

// Valid reports whether s is one of the sources.
func (s Source) Valid() bool { return s < SourceCount }

// GrantEntry grants credit to one customer.
type GrantEntry struct {
	Customer     string
	Source       Source
	Credits      int
	ValidMs      clock.Millis // how long the credit may be used, counted from before the Ask was sent
	EmptyMs      clock.Millis // no more is there in that time, unless some is returned
	RetryAfterMs clock.Millis // when the next refused request should come back
}

// isOwners reports whether the sender may grant main credit, though perhaps none yet.
func (e GrantEntry) isOwners() bool {
	return e.Source == SourceOwner || e.Source == SourceNone && e.ValidMs > 0
}

// Bounds of the numbers in an Ask and a Grant.
const (
	MaxEntries = 4096
	MaxCredits = 1 << 20
)

// PeerBody marks Ask as the body of a message between VMs.
func (Ask) PeerBody() {}

// PeerBody marks Grant as the body of a message between VMs.
func (Grant) PeerBody() {}
