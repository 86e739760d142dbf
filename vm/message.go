package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
)

// Msg is an input of a Core.
type Msg interface{ vmMsg() }

// QueryMsg is an idempotent request from a caller. CallID is unique per process
// and correlates the answer with its request, because callers choose ID freely.
type QueryMsg struct {
	CallID      uint64
	ID          string
	Rank        rank.Rank
	Service     string
	Body        []byte
	Customer    string       // of the caller; empty if none
	BudgetMs    clock.Millis // 0 selects the default of the preset
	MinCoverage float64      // percent; negative selects the default of the preset
}

// OrderMsg is a non-idempotent request from a caller.
type OrderMsg struct {
	CallID  uint64
	ID      string
	Rank    rank.Rank
	Service string
	Group   string
	Body    []byte

	// Customer is the one of the caller; empty if none.
	Customer string
}

// CallerDisconnectedMsg reports that the caller disconnected and no longer needs
// an answer.
type CallerDisconnectedMsg struct{ CallID uint64 }

// ReplyMsg is the reply to a DispatchCmd.
type ReplyMsg struct{ Reply attempt.Reply }

// AbortedMsg reports that the connection of an aborted attempt is closed.
type AbortedMsg struct{ ID attempt.ID }

// LoadMsg is the result of a PollLoadCmd. OK is false if the poll failed.
type LoadMsg struct {
	Upstream upstream.ID
	Load     upstream.Load
	OK       bool
}

// StoreMsg is the result of a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// ListedVMsMsg is the VM list as read most recently.
type ListedVMsMsg struct{ VMs []fleet.VM }

// PresetRecordMsg is a preset record that this VM has just committed to the store.
type PresetRecordMsg struct{ Record preset.Record }

// PresetSwitchedMsg reports that this VM has committed an operator's change.
type PresetSwitchedMsg struct{ Change preset.AppliedChange }

// StopMsg starts a graceful shutdown.
type StopMsg struct{}

// TickMsg reports that the time returned by NextWake has passed.
type TickMsg struct{}

func (QueryMsg) vmMsg()              {}
func (OrderMsg) vmMsg()              {}
func (CallerDisconnectedMsg) vmMsg() {}
func (ReplyMsg) vmMsg()              {}
func (AbortedMsg) vmMsg()            {}
func (LoadMsg) vmMsg()               {}
func (StoreMsg) vmMsg()              {}
func (ListedVMsMsg) vmMsg()          {}
func (PresetRecordMsg) vmMsg()       {}
func (PresetSwitchedMsg) vmMsg()     {}
func (StopMsg) vmMsg()               {}
func (TickMsg) vmMsg()               {}
func (PeerMsg) vmMsg()               {}
func (PeerUnsentMsg) vmMsg()         {}
func (PeerDisconnectedMsg) vmMsg()   {}
