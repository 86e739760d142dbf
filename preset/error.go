package preset

import "fmt"

// Kind is the class of a failure.
type Kind uint8

// The kinds of failure.
const (
	KindInvalid     Kind = iota + 1 // the document or the change is invalid
	KindNotFound                    // the named preset does not exist
	KindConflict                    // another change was written first; this one is not in force
	KindUnavailable                 // the store could not be reached; the change was not written
	KindUnknown                     // the write may have taken effect
)

var kindNames = [...]string{"none", "invalid", "not_found", "conflict", "unavailable", "unknown"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "none"
}

// Error is a failed operation on presets.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("preset %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

func newError(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}
