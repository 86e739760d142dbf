package catalog

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Msg is an input of a Model.
type Msg interface{ catalogMsg() }

// ListedMsg is the result of a ListCmd.
type ListedMsg struct{ Batch store.Batch }

// FollowedMsg is the result of a FollowCmd.
type FollowedMsg struct{ Batch store.Batch }

// FailedMsg reports that the last command failed.
type FailedMsg struct{ Kind store.Kind }

// FeedersMsg names the VMs that may feed this one, best first, and says whether
// this one may feed others.
type FeedersMsg struct {
	VMs   []string
	Feeds bool
}

// SubscribedMsg brings a subscription of another VM.
type SubscribedMsg struct {
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
func (FollowedMsg) catalogMsg()   {}
func (FailedMsg) catalogMsg()     {}
func (FeedersMsg) catalogMsg()    {}
func (SubscribedMsg) catalogMsg() {}
func (UpdateMsg) catalogMsg()     {}
func (PeerLostMsg) catalogMsg()   {}
func (TickMsg) catalogMsg()       {}

// Cmd is an output of a Model.
type Cmd interface{ catalogCmd() }

// ListCmd reads everything. A stale read may be seconds old and costs a tenth;
// the watch that follows starts from its revision, so nothing is missed.
type ListCmd struct{ Stale bool }

// FollowCmd waits for changes.
type FollowCmd struct {
	After  uint64
	WaitMs clock.Millis
}

// PutCmd reports a new or changed item.
type PutCmd struct{ Item store.Item }

// DropCmd reports that a key is gone.
type DropCmd struct{ Key string }

// ContactCmd reports that the store was lost, or is reached again.
type ContactCmd struct {
	Reached bool
	Kind    store.Kind // why it was lost
}

// SubscribeCmd asks a VM for changes.
type SubscribeCmd struct {
	To        string
	Subscribe Subscribe
}

// ShareCmd passes changes on to followers.
type ShareCmd struct {
	To     []string
	Update Update
}

// FeederCmd reports which VM feeds this one from now on; none if VM is empty.
type FeederCmd struct{ VM string }

func (ListCmd) catalogCmd()      {}
func (FollowCmd) catalogCmd()    {}
func (PutCmd) catalogCmd()       {}
func (DropCmd) catalogCmd()      {}
func (ContactCmd) catalogCmd()   {}
func (SubscribeCmd) catalogCmd() {}
func (ShareCmd) catalogCmd()     {}
func (FeederCmd) catalogCmd()    {}
