package fleet

import "fmt"

// Kind classifies a failure.
type Kind uint8

// The kinds of failure.
const (
	KindMalformed Kind = iota + 1 // not a valid encoding
	KindTooLarge                  // exceeds a size or value limit
)

// Error reports a payload that was rejected.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet %s: %v", e.op, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

func decodeErrorf(kind Kind, format string, args ...any) error {
	return &Error{op: "decode", kind: kind, err: fmt.Errorf(format, args...)}
}
