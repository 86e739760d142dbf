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

// WokeMsg reports that the VM was suspended, so that everything known is old.
type WokeMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

func (ListedMsg) catalogMsg()   {}
func (FollowedMsg) catalogMsg() {}
func (FailedMsg) catalogMsg()   {}
func (WokeMsg) catalogMsg()     {}
func (TickMsg) catalogMsg()     {}

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

func (ListCmd) catalogCmd()    {}
func (FollowCmd) catalogCmd()  {}
func (PutCmd) catalogCmd()     {}
func (DropCmd) catalogCmd()    {}
func (ContactCmd) catalogCmd() {}
