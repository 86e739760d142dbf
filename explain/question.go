package explain

import (
	"errors"
	"fmt"
	"io"
	"slices"
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
	MaxServices  = 128 // their names have MaxPathBytes together

	// MaxQuestionBytes bounds a Question as JSON, in which a byte may take six.
	MaxQuestionBytes = 6*(MaxHostBytes+2*MaxPathBytes+2*MaxNameBytes) + 2<<10
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
	Services    []string     `json:"services,omitempty"`     // that another VM delegates to this one; empty for a request of a caller
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
	case len(q.Services) > MaxServices || slices.Contains(q.Services, "") || len(strings.Join(q.Services, "")) > MaxPathBytes:
		return fmt.Errorf("services: must be at most %d names, none empty, of %d bytes together", MaxServices, MaxPathBytes)
	}
	return nil
}

// Query returns the question for the relay.
func (q Question) Query() relay.ExplainQuery {
	return relay.ExplainQuery{
		Arrival:  relay.ArrivalMsg{Host: q.Host, Path: q.Path, Key: q.Key, RemainingMs: q.RemainingMs},
		Customer: q.Customer, Parts: q.Parts, Services: q.Services,
	}
}
