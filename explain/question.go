package explain

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// Bounds of a Question, in bytes.
const (
	MaxHostBytes = 1 << 10
	MaxPathBytes = 16 << 10
	MaxNameBytes = 1 << 10

	// MaxQuestionBytes bounds a Question as JSON, in which a byte may take six.
	MaxQuestionBytes = 6*(MaxHostBytes+MaxPathBytes+2*MaxNameBytes) + 1<<10
)

// Question describes a request that is not sent. The method of a request is not part of it:
// nothing that is decided depends on it.
type Question struct {
	Host        string       `json:"host"`
	Path        string       `json:"path"`                   // with its query string
	Key         string       `json:"key,omitempty"`          // of the customer, as a caller sends it
	Customer    string       `json:"customer,omitempty"`     // its name, instead of the key
	RemainingMs clock.Millis `json:"remaining_ms,omitempty"` // time that the caller has; 0 if it does not say
	Parts       int          `json:"parts,omitempty"`        // how many parts are described; 0 for relay.DefaultParts
}

// Format implements fmt.Formatter. It leaves out the key.
func (q Question) Format(f fmt.State, _ rune) {
	// A fmt.State returns no error.
	_, _ = io.WriteString(f, fmt.Sprintf("{%s%s customer %q %d ms}", q.Host, q.Path, q.Customer, q.RemainingMs))
}

// Validate returns an error that names the first field that is not valid, without its value.
func (q Question) Validate() error {
	switch {
	case q.Host == "" || len(q.Host) > MaxHostBytes:
		return fmt.Errorf("host: must have 1 to %d bytes", MaxHostBytes)
	case !strings.HasPrefix(q.Path, "/") || len(q.Path) > MaxPathBytes:
		return fmt.Errorf("path: must begin with a slash and have at most %d bytes", MaxPathBytes)
	case len(q.Key) > MaxNameBytes:
		return fmt.Errorf("key: must have at most %d bytes", MaxNameBytes)
	case len(q.Customer) > MaxNameBytes:
		return fmt.Errorf("customer: must have at most %d bytes", MaxNameBytes)
	case q.Key != "" && q.Customer != "":
		return errors.New("customer: must not be set beside a key")
	case q.RemainingMs < 0 || q.RemainingMs > route.MaxTimeMs:
		return fmt.Errorf("remaining_ms: must be from 0 to %d", route.MaxTimeMs)
	case q.Parts < 0 || q.Parts > relay.MaxParts:
		return fmt.Errorf("parts: must be from 0 to %d", relay.MaxParts)
	}
	return nil
}

// Query returns the question for the relay.
func (q Question) Query() relay.ExplainQuery {
	return relay.ExplainQuery{
		Arrival:  relay.ArrivalMsg{Host: q.Host, Path: q.Path, Key: q.Key, RemainingMs: q.RemainingMs},
		Customer: q.Customer, Parts: q.Parts,
	}
}
