package timeline

import "lentillink.example/lentillink/clock"

// Kind names the type of an event. The set is closed.
type Kind string

// The kinds of events.
const (
	Admitted        Kind = "admitted"
	Queued          Kind = "queued"
	Refused         Kind = "refused"
	Answered        Kind = "answered"
	Hedged          Kind = "hedged"
	Retried         Kind = "retried"
	BudgetExhausted Kind = "budget_exhausted"
	VersionRestart  Kind = "version_restart"
	GroupMissing    Kind = "group_missing"
	ReplyDropped    Kind = "reply_dropped"
	ClaimWritten    Kind = "claim_written"
	ClaimRefused    Kind = "claim_refused"
	ClaimReleased   Kind = "claim_released"
	StoreFailed     Kind = "store_failed"
	PresetApplied   Kind = "preset_applied"
	PresetSwitched  Kind = "preset_switched"
	VMJoined        Kind = "vm_joined"
	VMSuspected     Kind = "vm_suspected"
	VMLeft          Kind = "vm_left"
	VMFailed        Kind = "vm_failed"
	UpstreamLeaving Kind = "upstream_leaving"
	UpstreamBack    Kind = "upstream_back"
	LimitChanged    Kind = "limit_changed"
	DrainStarted    Kind = "drain_started"
	DrainFinished   Kind = "drain_finished"
)

// Kinds returns every kind of event.
func Kinds() []Kind {
	return []Kind{
		Admitted, Queued, Refused, Answered, Hedged, Retried, BudgetExhausted, VersionRestart, GroupMissing,
		ReplyDropped, ClaimWritten, ClaimRefused, ClaimReleased, StoreFailed, PresetApplied, PresetSwitched,
		VMJoined, VMSuspected, VMLeft, VMFailed, UpstreamLeaving, UpstreamBack, LimitChanged, DrainStarted, DrainFinished,
	}
}

// Event is an event on one VM. The state machines leave Timestamp and VM
// empty; Ring.Add sets them.
type Event struct {
	Timestamp clock.Timestamp `json:"stamp"`
	VM        string          `json:"vm"`
	Kind      Kind            `json:"kind"`
	Request   string          `json:"request,omitempty"`
	Upstream  string          `json:"upstream,omitempty"`
	Revision  uint64          `json:"revision,omitempty"`
	Rank      string          `json:"rank,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}
