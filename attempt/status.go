package attempt

// Status is the result of an attempt.
type Status uint8

// The statuses of an attempt, each with the execution state that it implies.
const (
	OK          Status = iota
	VersionGone        // the upstream does not hold the version; not executed
	Shed               // rejected because of overload; not executed
	Leaving            // the upstream is draining; not executed
	NotSent            // dropped before anything was sent; not executed
	ConnRefused        // the upstream refused the connection; not executed
	Failed             // an error after the request may have been sent; unknown
	TimedOut           // no reply by the deadline after the request was sent; unknown
	Mismatched         // the reply was late, truncated, duplicated or for another attempt; unknown
	Cancelled          // cancelled by its sender; unknown unless Execution is NotExecuted
	NotCarrier         // the VM no longer owns connections to the upstream; not executed
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

// Execution is the execution state of a request. Executed and NotExecuted are
// proven. The zero value is ExecutionUnknown, so that a field that was not set
// never counts as proof.
type Execution uint8

// The execution states; their names on the wire are unknown, no and yes.
const (
	ExecutionUnknown Execution = iota
	NotExecuted
	Executed
)

var executionNames = [...]string{"unknown", "no", "yes"}

// String returns the name of e.
func (e Execution) String() string {
	if int(e) < len(executionNames) {
		return executionNames[e]
	}
	return "unknown"
}

// MarshalText encodes e as its name.
func (e Execution) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText decodes a name; anything else decodes as ExecutionUnknown.
func (e *Execution) UnmarshalText(b []byte) error {
	*e = ExecutionUnknown
	for i, name := range executionNames {
		if string(b) == name {
			*e = Execution(i)
		}
	}
	return nil
}
