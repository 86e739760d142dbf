package httpcall

import "fmt"

// Kind classifies a failed call.
type Kind uint8

// The first three kinds prove that nothing was sent.
const (
	KindNotSent      Kind = iota // no time or no connection was left
	KindDial                     // the connection was not opened, or closed before its first use
	KindStale                    // kept connections were closed or held further bytes
	KindTimeout                  // the deadline passed after the request may have left
	KindBroken                   // the connection broke after the request may have left
	KindTruncated                // the reply ended early, or its length was not given
	KindTooLarge                 // the reply exceeds the limit
	KindTrailingData             // further bytes followed the reply
	KindRejected                 // the caller's check refused the reply
)

var kindNames = [...]string{
	"not_sent", "dial", "stale", "timeout", "broken", "cut", "too_large", "doubled", "refused",
}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Sent reports whether a byte of the request may have left.
func (k Kind) Sent() bool { return k > KindStale }

// Error reports a failed call.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Op returns the method and path of the call.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("http %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("http %s: %s: %v", e.op, e.kind, e.err)
}
