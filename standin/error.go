package standin

import "fmt"

// Kind classifies an Error.
type Kind uint8

// KindListen means that a server cannot listen on an address, KindUnknownTarget
// and KindUnknownFault that there is no such target or fault, and KindInvalid
// that a value is not accepted.
const (
	KindListen Kind = iota
	KindUnknownTarget
	KindUnknownFault
	KindInvalid
)

var kindNames = [...]string{"listen", "unknown_target", "unknown_fault", "invalid"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid_kind"
}

// Error reports a service that cannot start or a fault that cannot be set.
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
func (e *Error) Error() string { return fmt.Sprintf("standin %s: %s: %v", e.op, e.kind, e.err) }
