package explain

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
)

// Document answers a Question. It holds no key.
type Document struct {
	VM         string `json:"vm"` // that answers
	DataCentre string `json:"data_centre"`
	relay.Explanation
	Credit *quota.Credit `json:"credit"` // of a customer with a limit, else nil
}

// Verdict is what becomes of the request, in the order of what is decided first.
type Verdict string

// The verdicts.
const (
	Served     Verdict = "served"      // it is sent or queued
	Refused    Verdict = "refused"     // it is not run
	NoRoute    Verdict = "no_route"    // no route matches its host and path
	NoCustomer Verdict = "no_customer" // its key, or the name of the customer, is not known
)

// Verdict returns what becomes of the request.
func (d *Document) Verdict() Verdict {
	switch d.Admission.Outcome {
	case relay.NoRoute.String():
		return NoRoute
	case relay.Unauthorized.String():
		return NoCustomer
	case relay.Admitted:
		if d.creditRefused() == "" {
			return Served
		}
	}
	return Refused
}

// Reason returns why the request is not served, empty if it is.
func (d *Document) Reason() string {
	if reason := d.creditRefused(); reason != "" {
		return reason // credit is asked for before anything else is decided
	}
	return d.Admission.Reason
}

// RetryAfterMs returns when a caller that is refused should come back, 0 if it is served or
// the time is not known.
func (d *Document) RetryAfterMs() clock.Millis {
	if d.creditRefused() != "" {
		return d.Credit.RetryAfterMs
	}
	return d.Admission.RetryAfterMs
}

// creditRefused returns why the request gets no credit, empty if it may get some.
func (d *Document) creditRefused() string {
	if d.Credit == nil || d.Admission.Reason == waitedTooLong || d.Admission.Reason == stopping {
		return ""
	}
	if s := d.Credit.State; s == quota.StateOverLimit || s == quota.StateNoCredit {
		return string(s)
	}
	return ""
}

// Reasons of a refusal that come before credit.
const (
	waitedTooLong = "waited_too_long"
	stopping      = "stopping"
)
