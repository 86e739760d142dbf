package httpcall

import "fmt"

// Kind classifies a failed call.
type Kind uint8

// The kinds of failures. With the first three, nothing was sent.
const (
	KindNotSent      Kind = iota // no time was left, no connection was free, or the host is closed
	KindDial                     // the connection could not be opened, or the host closed it before its first use
	KindStale                    // idle connections were closed by the host or had unread bytes
	KindTimeout                  // the deadline passed after the request may have been sent
	KindBroken                   // the connection failed after the request may have been sent
	KindTruncated                // the reply ended early, or its end is not certain
	KindTooLarge                 // the head or the body of the reply exceeds the limit
	KindTrailingData             // further bytes followed the reply
	KindRejected                 // the caller's check rejected the reply
	KindInvalid                  // the reply has no valid status
)

var kindNames = [...]string{
	"not_sent", "dial", "stale", "timeout", "broken", "cut", "too_large", "doubled", "refused", "invalid",
}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Sent reports whether a byte of the request may have been sent.
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
