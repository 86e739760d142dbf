package httpup

import "lentillink.example/lentillink/upstream"

// Stats counts the connections and the dropped replies of one upstream.
type Stats struct {
	Opened  int // connections opened so far, without the control connection
	Open    int // connections open now, without the control connection
	Peak    int // most connections open or being opened at once
	Crossed int // replies to another attempt
	Cut     int // replies that were cut, oversized or not readable
	Doubled int // replies followed by further bytes
	Stale   int // kept connections found closed or with further bytes before use
}

// Stats returns the counts of an upstream.
func (c *Client) Stats(id upstream.ID) Stats {
	h, ok := c.hosts[id]
	if !ok {
		return Stats{}
	}
	return Stats{
		Opened:  h.work.Opened(),
		Open:    h.work.Open(),
		Peak:    h.work.Peak(),
		Crossed: int(h.crossed.Load()),
		Cut:     int(h.cut.Load()),
		Doubled: int(h.doubled.Load()),
		Stale:   h.work.Stale(),
	}
}
