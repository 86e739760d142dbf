package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// fault is one fault that can be set on a service, with a function that applies a value.
type fault struct {
	name    string
	accepts string // the accepted values, as error messages and GET /faults give them
	set     func(json.RawMessage) error
}

// faultSet holds the faults of one service.
type faultSet []fault

// Inject sets a fault. The value is encoded as JSON and validated as over HTTP.
func (s faultSet) Inject(name string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return &Error{op: "inject", kind: KindInvalid, err: err}
	}
	return s.inject(name, raw)
}

func (s faultSet) inject(name string, raw json.RawMessage) error {
	i := slices.IndexFunc(s, func(f fault) bool { return f.name == name })
	if i < 0 {
		err := fmt.Errorf("fault %q is not one of %s", name, strings.Join(s.names(), ", "))
		return &Error{op: "inject", kind: KindUnknownFault, err: err}
	}
	err := s[i].set(raw)
	var faultErr *Error
	if err == nil || errors.As(err, &faultErr) {
		return err
	}
	err = fmt.Errorf("value of %s is %.100s, want %s: %w", name, raw, s[i].accepts, err)
	return &Error{op: "inject", kind: KindInvalid, err: err}
}

func (s faultSet) names() []string {
	out := make([]string, len(s))
	for i, f := range s {
		out[i] = f.name
	}
	return out
}

func (s faultSet) acceptedValues() map[string]string {
	out := make(map[string]string, len(s))
	for _, f := range s {
		out[f.name] = f.accepts
	}
	return out
}

var (
	errRange    = errors.New("out of range")
	errTrailing = errors.New("data after the value")
)

// decodeStrict decodes JSON and rejects unknown fields, null and data after the value.
func decodeStrict(data []byte, out any) error {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return errors.New("value is null")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

func boolFault(name string, set func(bool) error) fault {
	return fault{name: name, accepts: "true or false", set: func(raw json.RawMessage) error {
		var v bool
		if err := decodeStrict(raw, &v); err != nil {
			return err
		}
		return set(v)
	}}
}

func numberFault(name string, low, high float64, set func(float64)) fault {
	return fault{name: name, accepts: fmt.Sprintf("a number from %g to %g", low, high), set: func(raw json.RawMessage) error {
		var v float64
		if err := decodeStrict(raw, &v); err != nil {
			return err
		}
		if v < low || v > high {
			return errRange
		}
		set(v)
		return nil
	}}
}

func countFault(name string, low, high uint64, set func(uint64) error) fault {
	return fault{name: name, accepts: fmt.Sprintf("a whole number from %d to %d", low, high), set: func(raw json.RawMessage) error {
		var v uint64
		if err := decodeStrict(raw, &v); err != nil {
			return err
		}
		if v < low || v > high {
			return errRange
		}
		return set(v)
	}}
}

// noError adapts a setter that cannot fail.
func noError(set func(uint64)) func(uint64) error {
	return func(n uint64) error {
		set(n)
		return nil
	}
}

// maxDelayMs bounds every delay that a fault can set.
const maxDelayMs = 10 * 60 * 1000

func (s *server) delayFault(name string, field *time.Duration) fault {
	return numberFault(name, 0, maxDelayMs, func(ms float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*field = millis(ms)
	})
}

func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
