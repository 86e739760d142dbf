package exchange

import "fmt"

// Kind classifies the failure of a call.
type Kind uint8

// The kinds of failures. KindNotSent and KindDial guarantee that no byte of the request
// was sent.
const (
	KindNotSent      Kind = iota // the connection was closed before the first byte
	KindDial                     // no connection could be opened
	KindBroken                   // the connection broke before a reply began
	KindTruncated                // the reply ended early
	KindWrongRequest             // the reply belongs to another request
	KindInvalid                  // the reply is not valid HTTP, or is too large
	KindHeadTooLarge             // the head of the reply is too large
)

var kindNames = [...]string{"not_sent", "dial", "broken", "cut", "foreign", "invalid", "head_too_large"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// MaybeSent reports whether a byte of the request may have been sent.
func (k Kind) MaybeSent() bool { return k > KindDial }

// Error reports a call that ended without a complete reply.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("exchange %s: %s: %v", e.op, e.kind, e.err) }
