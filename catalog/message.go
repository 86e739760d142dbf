package catalog

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Model.
type Msg interface{ catalogMsg() }

// ListedMsg is the result of a ListCmd.
type ListedMsg struct{ Batch store.Batch }

// WatchedMsg is the result of a WatchCmd.
type WatchedMsg struct{ Batch store.Batch }

// FailedMsg reports that the last command failed.
type FailedMsg struct{ Kind store.Kind }

// PublishersMsg names the VMs that may feed this one, best first, and says whether
// this one may feed others.
type PublishersMsg struct {
	VMs        []string
	MayPublish bool
}

// SubscribeMsg brings a subscription of another VM.
type SubscribeMsg struct {
	From      string
	Subscribe Subscribe
}

// UpdateMsg brings changes from another VM.
type UpdateMsg struct {
	From   string
	Update Update
}

// PeerLostMsg reports that the connection to a VM broke, or that nothing can
// be sent to it.
type PeerLostMsg struct{ VM string }

// TickMsg lets time pass.
type TickMsg struct{}

func (ListedMsg) catalogMsg()     {}
func (WatchedMsg) catalogMsg()    {}
func (FailedMsg) catalogMsg()     {}
func (PublishersMsg) catalogMsg() {}
func (SubscribeMsg) catalogMsg()  {}
func (UpdateMsg) catalogMsg()     {}
func (PeerLostMsg) catalogMsg()   {}
func (TickMsg) catalogMsg()       {}

// Cmd is an output of a Model.
type Cmd interface{ catalogCmd() }

// ListCmd reads everything. A stale read may be seconds old and costs a tenth;
// the watch that follows starts from its revision, so nothing is missed.
type ListCmd struct{ AllowStale bool }

// WatchCmd waits for changes.
type WatchCmd struct {
	After  uint64
	WaitMs clock.Millis
}

// PutCmd reports a new or changed item.
type PutCmd struct{ Item store.Item }

// DeleteCmd reports that a key is gone.
type DeleteCmd struct{ Key string }

// StoreStatusCmd reports that the store was lost, or is reached again.
type StoreStatusCmd struct {
	Reachable bool
	Kind      store.Kind // why it was lost
}

// SubscribeCmd asks a VM for changes.
type SubscribeCmd struct {
	To        string
	Subscribe Subscribe
}

// PublishCmd passes changes on to followers.
type PublishCmd struct {
	To     []string
	Update Update
}

// PublisherCmd reports which VM feeds this one from now on; none if VM is empty.
type PublisherCmd struct{ VM string }

func (ListCmd) catalogCmd()        {}
func (WatchCmd) catalogCmd()       {}
func (PutCmd) catalogCmd()         {}
func (DeleteCmd) catalogCmd()      {}
func (StoreStatusCmd) catalogCmd() {}
func (SubscribeCmd) catalogCmd()   {}
func (PublishCmd) catalogCmd()     {}
func (PublisherCmd) catalogCmd()   {}
