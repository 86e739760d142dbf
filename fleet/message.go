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

// PeerMsg is a payload that another VM sent with a SendCmd.
type PeerMsg struct {
	From    string // identifier of the sending VM
	Payload []byte
}

// VMListMsg is the VM list. It lags, so it only suggests whom to contact.
type VMListMsg struct{ VMs []VM }

// RecordMsg is a record that this VM committed to the store itself.
type RecordMsg struct{ Record preset.Record }

// StoreMsg carries the answer to a StoreCmd.
type StoreMsg struct{ Reply store.Reply }

// UpstreamLeavingMsg reports what this VM observed of an upstream: that it asks for
// no new work, or that it takes work again.
type UpstreamLeavingMsg struct {
	Upstream upstream.ID
	Leaving  bool
}

// StopMsg begins a planned stop of this VM.
type StopMsg struct{}

// TickMsg reports that the time of NextWake has come.
type TickMsg struct{}

func (PeerMsg) fleetMsg()            {}
func (VMListMsg) fleetMsg()          {}
func (RecordMsg) fleetMsg()          {}
func (StoreMsg) fleetMsg()           {}
func (UpstreamLeavingMsg) fleetMsg() {}
func (StopMsg) fleetMsg()            {}
func (TickMsg) fleetMsg()            {}

// Cmd is an output of a Model.
type Cmd interface{ fleetCmd() }

// SendCmd sends a payload to another VM. It may be lost.
type SendCmd struct {
	To      string
	Address string
	Payload []byte
}

// LiveCmd reports a new set of live members.
type LiveCmd struct{ VMs []VM }

// RecordCmd puts a committed record in force on this VM.
type RecordCmd struct{ Record preset.Record }

// UpstreamLeavingCmd tells the VM that an upstream leaves or is back.
type UpstreamLeavingCmd struct {
	Upstream upstream.ID
	Leaving  bool
}

// StoreCmd asks for one store call.
type StoreCmd struct{ Request store.Request }

// EventCmd records an event.
type EventCmd struct{ Event timeline.Event }

func (SendCmd) fleetCmd()            {}
func (LiveCmd) fleetCmd()            {}
func (RecordCmd) fleetCmd()          {}
func (UpstreamLeavingCmd) fleetCmd() {}
func (StoreCmd) fleetCmd()           {}
func (EventCmd) fleetCmd()           {}

// Report is the newest known statement about one upstream. The higher version
// wins; the reporter's identifier breaks a tie.
type Report struct {
	Upstream  upstream.ID  `json:"upstream"`
	Leaving   bool         `json:"leaving"`
	Version   uint64       `json:"version"`
	Reporter  string       `json:"reporter"`
	ExpiresMs clock.Millis `json:"expires_ms"`
}
