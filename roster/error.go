package roster

import "fmt"

// Kind classifies an Error.
type Kind uint8

// KindUnavailable means that the VM list could not be read, KindInvalid that the
// reply is not a valid list.
const (
	KindUnavailable Kind = iota
	KindInvalid
)

var kindNames = [...]string{"unavailable", "invalid"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid_kind"
}

// Error reports a failed read of the VM list.
type Error struct {
	op   string
	kind Kind
	err  error
}

// NewError returns an Error. err may be nil.
func NewError(op string, kind Kind, err error) *Error { return &Error{op: op, kind: kind, err: err} }

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("roster %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("roster %s: %s: %v", e.op, e.kind, e.err)
}
