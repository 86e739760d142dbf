package attempt

// Status says how an attempt ended.
type Status uint8

// The statuses of an attempt.
const (
	OK          Status = iota
	VersionGone        // the upstream does not hold the version; not run
	Shed               // the upstream refused under load; not run
	Leaving            // the upstream is draining; not run
	NotSent            // dropped before anything was sent; not run
	ConnRefused        // connection refused; not run
	Failed             // an error after the request may have left; unknown
	TimedOut           // the deadline passed after the request was sent; unknown
	Mismatched         // the reply was late, crossed, cut or doubled; unknown
	Cancelled          // cancelled by its owner; unknown unless Ran says no
	NotCarrier         // the VM no longer owns connections to the upstream; not run
)

var statusNames = [...]string{
	"ok", "version_gone", "shed", "leaving", "not_sent", "refused", "failed", "timed_out", "mismatched", "cancelled",
	"not_carrier",
}

// String returns the name of s.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Execution says whether work was run. The zero value is Unknown, so that a
// forgotten field never claims a proof.
type Execution uint8

// Unknown, No and Yes are the values of Ran.
const (
	ExecutionUnknown Execution = iota
	NotExecuted
	Executed
)

var executionNames = [...]string{"unknown", "no", "yes"}

// String returns the name of r.
func (e Execution) String() string {
	if int(e) < len(executionNames) {
		return executionNames[e]
	}
	return "unknown"
}

// MarshalText encodes r as its name.
func (e Execution) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText decodes a name; anything else decodes as Unknown.
func (e *Execution) UnmarshalText(b []byte) error {
	*e = ExecutionUnknown
	for i, name := range executionNames {
		if string(b) == name {
			*e = Execution(i)
		}
	}
	return nil
}
