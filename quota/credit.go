package quota

import (
	"fmt"

	"lentillink.example/lentillink/clock"
)

// State is what becomes of a request that needs credit.
type State string

// The states of a request that needs credit.
const (
	StateGranted   State = "granted"    // this VM holds credit
	StateAsked     State = "asked"      // a VM is asked, and decides; this one may be asked as a deputy
	StateOverLimit State = "over_limit" // refused, there is none
	StateNoCredit  State = "no_credit"  // refused, no VM that may grant some is reached
)

// Credit is what a VM knows of a customer's credit. Times are in milliseconds from now.
type Credit struct {
	Customer     string       `json:"customer"`
	RatePerS     float64      `json:"rate_per_s"`
	Burst        float64      `json:"burst"`
	State        State        `json:"state"`          // of the next request
	RetryAfterMs clock.Millis `json:"retry_after_ms"` // if it is over the limit
	Held         int          `json:"held"`           // requests for which this VM holds credit
	HeldMs       clock.Millis `json:"held_ms"`        // until the last of it runs out
	Waiting      int          `json:"waiting"`        // requests on this VM that wait for credit
	Asks         string       `json:"asks"`           // VM that is asked; empty if none
	Owner        string       `json:"owner"`          // VM that grants the credit; empty if not known
	Left         *float64     `json:"left"`           // requests that the owner may still grant; nil if this VM is not the owner
	Unknown      []string     `json:"unknown"`
}

// Credit returns what becomes of the next request of a customer with a limit. It changes
// nothing.
func (m *Model) Credit(now clock.Millis, l Limit) Credit {
	a := account{limit: l, group: GroupOf(l.Customer)}
	if known := m.accounts[l.Customer]; known != nil {
		a = *known
		a.setLimit(l)
	}
	c := Credit{
		Customer: l.Customer, RatePerS: a.limit.Rate, Burst: a.limit.Burst, State: a.next(now),
		Waiting: len(a.waiting), Owner: m.Owner(a.group), Unknown: []string{},
	}
	for _, lot := range a.lots {
		if lot.credits > 0 && now < lot.until {
			c.Held += lot.credits
			c.HeldMs = max(c.HeldMs, lot.until-now)
		}
	}
	if !l.Valid() {
		c.State = StateNoCredit
		return c
	}
	m.addOwner(now, &c, &a)
	if c.State == StateAsked {
		m.addAsked(now, &c, &a)
	}
	if c.State == StateOverLimit && c.RetryAfterMs == 0 {
		c.RetryAfterMs = max(a.nextRetryAt(now)-now, 1)
	}
	return c
}

// addOwner adds what the owner has left, if this VM is the owner.
func (m *Model) addOwner(now clock.Millis, c *Credit, a *account) {
	switch {
	case m.hasRight(now, a.group):
		b := m.copyBucket(now, a)
		c.Left = &b.level
		if now < b.warmUntil {
			c.unknown("what an earlier owner has granted, for %d ms more", b.warmUntil-now)
		}
	case c.Owner == "":
		c.unknown("which VM owns the credit: no claim of group %d is known", a.group)
	default:
		c.unknown("how much credit %s has left to grant", c.Owner)
	}
}

func (c *Credit) unknown(format string, args ...any) {
	c.Unknown = append(c.Unknown, fmt.Sprintf(format, args...))
}

// addAsked adds which VM is asked for the credit of the next request, and what that VM grants
// if it is this one. The account is a copy.
func (m *Model) addAsked(now clock.Millis, c *Credit, a *account) {
	if c.Asks = a.asked; c.Asks != "" {
		return
	}
	view := *m // with its own caches
	if c.Asks = view.nextTarget(now, a); c.Asks == "" {
		c.State = StateNoCredit
		return
	}
	if c.Asks == m.cfg.self && !m.hasRight(now, a.group) {
		c.unknown("whether this VM, as a deputy, grants from its reserve")
	}
	if l := m.links[c.Asks]; c.Asks != m.cfg.self || !m.hasRight(now, a.group) || l != nil && l.open {
		return
	}
	b := m.copyBucket(now, a)
	switch g := b.grant(now, AskEntry{Limit: a.limit, Want: 1}, m.cfg.bounds); {
	case g.Credits > 0:
		c.State = StateGranted
	case g.Source == SourceOwner:
		c.State, c.RetryAfterMs = StateOverLimit, max(a.nextRetryAt(now)-now, g.RetryAfterMs, 1)
	}
}

// copyBucket returns a copy of a customer's bucket as it is now.
func (m *Model) copyBucket(now clock.Millis, a *account) *bucket {
	b := m.buckets[a.limit.Customer]
	if b == nil {
		return m.newBucket(now, a.group, a.limit)
	}
	out := *b
	out.setLimit(now, a.limit)
	out.refill(now)
	return &out
}
