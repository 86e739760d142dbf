package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
)

// WriteText writes a Document for a person.
func WriteText(w io.Writer, d *Document) error {
	t := text{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.line("seen by\t%s in data centre %s, configuration %d", d.VM, orUnknown(d.DataCentre), d.Version)
	switch d.Verdict() {
	case NoRoute:
		t.line("route\tnone: no route of this configuration matches the host and the path")
		return t.flush()
	case NoCustomer:
		t.line("route\t%s", d.Route)
		t.line("customer\tnot known (%s)", d.Reason())
		return t.flush()
	case Served, Refused:
	}
	t.line("route\t%s", orNone(d.Route))
	t.line("customer\t%s", orNone(d.Customer))
	t.credit(d.Credit)
	t.admission(d)
	t.line("time\ttarget in %d ms, deadline in %d ms", d.TargetMs, d.DeadlineMs)
	t.carriers(d.Carriers)
	for _, p := range d.Parts {
		t.part(p)
	}
	if d.MoreParts > 0 {
		t.line("\nand %d more parts on this VM", d.MoreParts)
	}
	if len(d.Unknown) > 0 || d.Credit != nil && len(d.Credit.Unknown) > 0 {
		t.line("\nnot known here")
	}
	for _, u := range d.Unknown {
		t.line("  %s", u)
	}
	if d.Credit != nil {
		for _, u := range d.Credit.Unknown {
			t.line("  %s", u)
		}
	}
	return t.flush()
}

// text writes lines with columns. The first error is kept.
type text struct {
	w   *tabwriter.Writer
	err error
}

func (t *text) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *text) flush() error {
	if t.err == nil {
		t.err = t.w.Flush()
	}
	return t.err
}

func (t *text) credit(c *quota.Credit) {
	if c == nil {
		return
	}
	state := map[quota.State]string{
		quota.StateGranted: "there is credit", quota.StateAsked: "asks " + c.Asks + " for credit",
		quota.StateOverLimit: "over the limit", quota.StateNoCredit: "no VM that may grant credit is reached",
	}[c.State]
	left := ""
	if c.Left != nil {
		left = fmt.Sprintf(", %.1f left there", *c.Left)
	}
	t.line("credit\t%s; limit %g/s and %g beyond it; held here for %d requests, %d wait; owner %s%s",
		state, c.RatePerS, c.Burst, c.Held, c.Waiting, orUnknown(c.Owner), left)
}

func (t *text) admission(d *Document) {
	a := d.Admission
	estimate := ""
	if a.Parts > 0 {
		estimate = fmt.Sprintf("; %d of %d parts needed, expected after %d ms", a.RequiredParts, a.Parts, a.EstimateMs)
	}
	if slices.ContainsFunc(d.Carriers, func(c relay.Carrier) bool { return !c.EstimateKnown }) {
		estimate += " or more"
	}
	if a.LimitMs > 0 {
		estimate += fmt.Sprintf(", limit %d ms", a.LimitMs)
	}
	switch {
	case d.Verdict() == Refused:
		t.line("admission\trefused: %s%s; retry after %d ms", d.Reason(), estimate, d.RetryAfterMs())
	case a.Probe:
		t.line("admission\tadmitted beyond the limit, to renew the estimate%s", estimate)
	default:
		t.line("admission\tadmitted%s", estimate)
	}
}

// maxServices is how many services of a carrier a line names.
const maxServices = 8

func (t *text) carriers(list []relay.Carrier) {
	if len(list) == 0 {
		return
	}
	t.line("\nCARRIER\tDATA CENTRE\tEXPECTED\tPARTS")
	for _, c := range list {
		name, expected := c.VM, fmt.Sprintf("%d ms", c.EstimateMs)
		if c.Self {
			name = strings.TrimSpace(c.VM + " (this VM)")
		}
		if !c.EstimateKnown {
			expected = "not known"
		}
		services := strings.Join(c.Services[:min(len(c.Services), maxServices)], " ")
		if n := len(c.Services) - maxServices; n > 0 {
			services += fmt.Sprintf(" and %d more", n)
		}
		t.line("%s\t%s\t%s\t%d: %s", name, orUnknown(c.DataCentre), expected, len(c.Services), services)
	}
}

func (t *text) part(p relay.Part) {
	switch {
	case p.Action == relay.ActionSend && p.Probe:
		t.line("\npart %s: goes to %s, which was slow and is tried again", p.Service, p.Upstream)
	case p.Action == relay.ActionSend:
		t.line("\npart %s: goes to %s", p.Service, p.Upstream)
	case p.Action == relay.ActionQueue:
		t.line("\npart %s: waits, %d ahead of it, expected after %d ms", p.Service, p.QueuedAhead, p.EstimateMs)
	default:
		t.line("\npart %s: no upstream can take it", p.Service)
	}
	t.line("UPSTREAM\tDATA CENTRE\tOPEN\tTOTAL ms\t= WORK\t+ BUSY\t+ OVERDUE\t+ DISTANCE\t+ FAILURE\t+ DOUBT\t+ JITTER\t")
	for _, c := range p.Candidates {
		t.candidate(c)
	}
	if p.MoreCandidates > 0 {
		t.line("and %d more upstreams", p.MoreCandidates)
	}
}

func (t *text) candidate(c relay.Candidate) {
	note := c.Excluded
	switch {
	case c.HeldMs > 0:
		note += fmt.Sprintf(", %d ms more", c.HeldMs)
	case c.AvoidedMs > 0:
		note += fmt.Sprintf(", %d ms more", c.AvoidedMs)
	}
	if c.Chosen {
		note = strings.TrimSuffix("chosen, "+note, ", ")
	}
	open := fmt.Sprintf("%d/%d", c.Open, c.OpenLimit)
	if s := c.Score; s != nil {
		t.line("%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s", c.Upstream, c.DataCentre, open,
			c.TotalMs, s.WorkMs, s.BusyMs, s.OverdueMs, s.DistanceMs, s.FailureMs, s.DoubtMs, s.JitterMs, note)
		return
	}
	t.line("%s\t%s\t%s\t-\t-\t-\t-\t-\t-\t-\t-\t%s", c.Upstream, c.DataCentre, open, note)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func orUnknown(s string) string {
	if s == "" {
		return "not known"
	}
	return s
}
