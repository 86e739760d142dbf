package peer

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/quota"
)

func encodeAsk(a quota.Ask) *peerpb.CreditAsk {
	out := &peerpb.CreditAsk{Id: a.ID, Forwarded: a.Forwarded, Wants: make([]*peerpb.CreditWant, 0, len(a.Entries))}
	for _, e := range a.Entries {
		out.Wants = append(out.Wants, &peerpb.CreditWant{
			Customer: e.Limit.Customer, Rate: e.Limit.Rate, Burst: e.Limit.Burst, Version: e.Limit.Version,
			Want: uint32(e.Want), Ahead: uint32(e.Ahead), Returned: uint32(e.Returned),
		})
	}
	return out
}

func decodeAsk(a *peerpb.CreditAsk) (quota.Ask, error) {
	if len(a.GetWants()) > quota.MaxEntries {
		return quota.Ask{}, wrap("decode ask for credit", KindDecode, errOutOfRange)
	}
	out := quota.Ask{ID: a.GetId(), Forwarded: a.GetForwarded(), Entries: make([]quota.AskEntry, 0, len(a.GetWants()))}
	for _, w := range a.GetWants() {
		l := quota.Limit{Customer: w.GetCustomer(), Rate: w.GetRate(), Burst: w.GetBurst(), Version: w.GetVersion()}
		if !l.Valid() || max(w.GetWant(), w.GetAhead(), w.GetReturned()) > quota.MaxCredits {
			return quota.Ask{}, wrap("decode ask for credit", KindDecode, errOutOfRange)
		}
		out.Entries = append(out.Entries, quota.AskEntry{Limit: l, Want: int(w.GetWant()), Ahead: int(w.GetAhead()), Returned: int(w.GetReturned())})
	}
	return out, nil
}

func encodeGrant(g quota.Grant) *peerpb.CreditGrant {
	out := &peerpb.CreditGrant{Id: g.ID, Credits: make([]*peerpb.Credit, 0, len(g.Entries))}
	for _, e := range g.Entries {
		out.Credits = append(out.Credits, &peerpb.Credit{
			Customer: e.Customer, Source: uint32(e.Source), Credits: uint32(e.Credits),
			ValidMs: int64(e.ValidMs), EmptyMs: int64(e.EmptyMs), RetryAfterMs: int64(e.RetryAfterMs),
		})
	}
	return out
}

func decodeGrant(g *peerpb.CreditGrant) (quota.Grant, error) {
	if len(g.GetCredits()) > quota.MaxEntries {
		return quota.Grant{}, wrap("decode grant of credit", KindDecode, errOutOfRange)
	}
	out := quota.Grant{ID: g.GetId(), Entries: make([]quota.GrantEntry, 0, len(g.GetCredits()))}
	for _, c := range g.GetCredits() {
		if c.GetSource() >= uint32(quota.SourceCount) || c.GetCredits() > quota.MaxCredits || len(c.GetCustomer()) > quota.MaxNameBytes ||
			!inRange(c.GetValidMs()) || !inRange(c.GetEmptyMs()) || !inRange(c.GetRetryAfterMs()) {
			return quota.Grant{}, wrap("decode grant of credit", KindDecode, errOutOfRange)
		}
		out.Entries = append(out.Entries, quota.GrantEntry{
			Customer: c.GetCustomer(), Source: quota.Source(c.GetSource()), Credits: int(c.GetCredits()),
			ValidMs: clock.Millis(c.GetValidMs()), EmptyMs: clock.Millis(c.GetEmptyMs()), RetryAfterMs: clock.Millis(c.GetRetryAfterMs()),
		})
	}
	return out, nil
}
