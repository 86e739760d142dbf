package catalog

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Model.
type Msg interface{ catalogMsg() }

// ListedMsg is the result of a ListCmd.
type ListedMsg struct {
	Page  ListCmd
	Batch store.Batch
	Next  string // key after which the next page begins; "" if this is the last of its prefix
}

// PageBegunMsg reports that the first byte of a page has arrived.
type PageBegunMsg struct{ Page ListCmd }

// WatchedMsg is the result of a WatchCmd.
type WatchedMsg struct{ Batch store.Batch }

// FailedMsg reports that a store call failed: that of a page, or the watch if Page is nil.
type FailedMsg struct {
	Kind store.Kind
	Page *ListCmd
}

// EraMsg reports the highest era that the store has stated in any reply.
type EraMsg struct{ Era uint64 }

// PublishersMsg sets the VMs that this one may subscribe to, best first, and
// whether others may subscribe to this one.
type PublishersMsg struct {
	VMs        []string
	MayPublish bool
}

// SubscribeMsg delivers a subscription from another VM.
type SubscribeMsg struct {
	From      string
	Subscribe Subscribe
}

// UpdateMsg delivers changes from another VM.
type UpdateMsg struct {
	From   string
	Update Update
}

// PeerLostMsg reports that the connection to a VM was lost, or that sending to it
// failed.
type PeerLostMsg struct{ VM string }

// ResumedMsg reports that the process did not run for a while, so that what is known may
// be out of date.
type ResumedMsg struct{}

// ConfirmMsg asks for a call that begins at a time, or just after it: the owner waits until
// ConfirmedAt has reached that time.
type ConfirmMsg struct{ At clock.Millis }

// TickMsg triggers the work due at the time returned by NextWake.
type TickMsg struct{}

func (ListedMsg) catalogMsg()     {}
func (PageBegunMsg) catalogMsg()  {}
func (WatchedMsg) catalogMsg()    {}
func (FailedMsg) catalogMsg()     {}
func (EraMsg) catalogMsg()        {}
func (PublishersMsg) catalogMsg() {}
func (SubscribeMsg) catalogMsg()  {}
func (UpdateMsg) catalogMsg()     {}
func (PeerLostMsg) catalogMsg()   {}
func (ResumedMsg) catalogMsg()    {}
func (ConfirmMsg) catalogMsg()    {}
func (TickMsg) catalogMsg()       {}

// Cmd is an output of a Model.
type Cmd interface{ catalogCmd() }

// ListCmd reads a page of the keys below a prefix. A stale read may be seconds old and costs a
// tenth of a fresh one; the watch that follows starts from its revision, so no change is missed.
type ListCmd struct {
	Pass       uint64 // number of the reading of all pages to which it belongs
	Prefix     string
	After      string // key after which the page begins; "" for the first of the prefix
	AllowStale bool
	Refresh    uint64       // number of a call beside those for the pages in turn; 0 for one of these
	TimeoutMs  clock.Millis // to the first byte of the reply
}

// WatchCmd waits up to WaitMs for changes after revision After, and SlackMs longer for the
// reply.
type WatchCmd struct {
	After   uint64
	WaitMs  clock.Millis
	SlackMs clock.Millis
}

// PutCmd reports a new or changed key. Era is the one to which the item's revision belongs.
// Returned is set if the key did not exist before the store came back from an older copy,
// and the item may be that of the copy: its removal is then lost.
type PutCmd struct {
	Item     store.Item
	Era      uint64
	Returned bool
}

// DeleteCmd reports that a key was removed, as the store shows in an era.
type DeleteCmd struct {
	Key string
	Era uint64
}

// EraCmd reports that the store is in another era. Returned is set if it came back from
// an older copy: leases have ended, and what was written after the copy was made is lost.
// It is not set for the first era that is known.
type EraCmd struct {
	Era      uint64
	Returned bool
}

// StoreStatusCmd reports that contact with the store was lost or restored.
type StoreStatusCmd struct {
	Reachable bool
	Kind      store.Kind // cause of the loss
}

// ListReadCmd reports that the list was read, or that its reading has ended early.
type ListReadCmd struct {
	Pages      int
	DurationMs clock.Millis
	Complete   bool
}

// SubscribeCmd sends a subscription, or its renewal, to a publisher.
type SubscribeCmd struct {
	To        string
	Subscribe Subscribe
}

// PublishCmd sends changes to subscribers.
type PublishCmd struct {
	To         []string
	Update     Update
	Compressed bool // all of them read compressed updates
}

// PublisherCmd reports the publisher of this VM from now on; there is none if VM is empty.
type PublisherCmd struct{ VM string }

func (ListCmd) catalogCmd()        {}
func (WatchCmd) catalogCmd()       {}
func (PutCmd) catalogCmd()         {}
func (DeleteCmd) catalogCmd()      {}
func (EraCmd) catalogCmd()         {}
func (StoreStatusCmd) catalogCmd() {}
func (ListReadCmd) catalogCmd()    {}
func (SubscribeCmd) catalogCmd()   {}
func (PublishCmd) catalogCmd()     {}
func (PublisherCmd) catalogCmd()   {}
