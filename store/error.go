package store

import (
	"errors"
	"fmt"
)

// Kind classifies the result of a store call. The interface Store describes what
// each kind proves.
type Kind uint8

// KindOK means success. KindTooLarge means that the value exceeds the store's limit.
const (
	KindOK Kind = iota
	KindConflict
	KindUnavailable
	KindUnknown
	KindTooLarge
)

var kindNames = [...]string{"ok", "conflict", "unavailable", "unknown", "too_large"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Error reports a failed store call.
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

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("store %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("store %s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of the error of a store call: KindOK for nil,
// KindUnknown for an error that is not an *Error.
func KindOf(err error) Kind {
	if err == nil {
		return KindOK
	}
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Kind()
	}
	return KindUnknown
}
