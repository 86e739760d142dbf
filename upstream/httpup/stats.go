package httpup

import "lentillink.example/lentillink/upstream"

// Stats counts the connections and the dropped replies of one upstream.
type Stats struct {
	OpenedConns  int // connections opened so far, without the control connection
	OpenConns    int // connections open now, without the control connection
	PeakConns    int // most connections open or being opened at once
	WrongAttempt int // replies to another attempt
	Malformed    int // replies that were truncated, oversized, not decodable or contradictory
	TrailingData int // replies followed by further bytes
	StaleConns   int // idle connections found closed or with unread bytes before reuse
}

// Stats returns the counts of an upstream.
func (c *Client) Stats(id upstream.ID) Stats {
	h, ok := c.hosts[id]
	if !ok {
		return Stats{}
	}
	return Stats{
		OpenedConns:  h.attempts.OpenedConns(),
		OpenConns:    h.attempts.OpenConns(),
		PeakConns:    h.attempts.PeakConns(),
		WrongAttempt: int(h.wrongAttempt.Load()),
		Malformed:    int(h.malformed.Load()),
		TrailingData: int(h.trailingData.Load()),
		StaleConns:   h.attempts.StaleConns(),
	}
}
