package fleet

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// Msg is an input of a Model.
type Msg interface{ fleetMsg() }

// PeerMsg delivers a payload that another VM sent with a SendCmd.
type PeerMsg struct {
	From    string // identifier of the sending VM
	Payload []byte
}

// ListedVMsMsg delivers the VM list. The list can be outdated, so it only provides contact hints.
type ListedVMsMsg struct{ VMs []VM }

// RecordMsg delivers a record that this VM has committed to the store.
type RecordMsg struct{ Record preset.Record }

// StoreMsg carries the reply to a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// UpstreamLeavingMsg reports what this VM observed of an upstream: that it refuses
// new work because it is leaving, or that it accepts work again.
type UpstreamLeavingMsg struct {
	Upstream upstream.ID
	Leaving  bool
}

// StopMsg begins a planned stop of this VM.
type StopMsg struct{}

// TickMsg triggers the work due at the time returned by NextWake.
type TickMsg struct{}

func (PeerMsg) fleetMsg()            {}
func (ListedVMsMsg) fleetMsg()       {}
func (RecordMsg) fleetMsg()          {}
func (StoreMsg) fleetMsg()           {}
func (UpstreamLeavingMsg) fleetMsg() {}
func (StopMsg) fleetMsg()            {}
func (TickMsg) fleetMsg()            {}

// Cmd is an output of a Model.
type Cmd interface{ fleetCmd() }

// SendCmd sends a payload to another VM. Delivery is not guaranteed.
type SendCmd struct {
	To      string
	Address string
	Payload []byte
}

// LiveCmd reports that the set of live members has changed.
type LiveCmd struct{ VMs []VM }

// RecordCmd puts a committed record in force on this VM.
type RecordCmd struct{ Record preset.Record }

// UpstreamLeavingCmd reports that an upstream is leaving or accepts work again.
type UpstreamLeavingCmd struct {
	Upstream upstream.ID
	Leaving  bool
}

// StoreCmd requests one store call.
type StoreCmd struct{ Request store.Request }

// EventCmd records an event.
type EventCmd struct{ Event timeline.Event }

func (SendCmd) fleetCmd()            {}
func (LiveCmd) fleetCmd()            {}
func (RecordCmd) fleetCmd()          {}
func (UpstreamLeavingCmd) fleetCmd() {}
func (StoreCmd) fleetCmd()           {}
func (EventCmd) fleetCmd()           {}

// Report states whether an upstream is leaving. Of two reports about an upstream,
// the one with the higher version wins; the reporter's identifier breaks a tie.
type Report struct {
	Upstream  upstream.ID  `json:"upstream"`
	Leaving   bool         `json:"leaving"`
	Version   uint64       `json:"version"`
	Reporter  string       `json:"reporter"`
	ExpiresMs clock.Millis `json:"expires_ms"`
}
