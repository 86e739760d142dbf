package experiment

import "lentillink.example/lentillink/clock"

// OpenConnections returns the number of connections of all live VMs to an
// upstream. The connections of an ended process are closed.
func (t *Tier) OpenConnections(upstream string) int {
	open := 0
	for _, n := range t.vms {
		if !n.dead {
			open += n.core.OpenConnections(upstream)
		}
	}
	return open
}

// TrackPeakConnections samples every upstream each millisecond until end and
// records the highest number of open connections to one of them.
func (t *Tier) TrackPeakConnections(end clock.Millis) *PeakConnections {
	p := &PeakConnections{}
	var sample func()
	sample = func() {
		for _, id := range t.upstreamIDs {
			if n := t.OpenConnections(id); n > p.OpenConns {
				p.OpenConns, p.Upstream, p.At = n, id, t.Loop.Now()-tierStart
			}
		}
		if t.Loop.Now() < end {
			t.Loop.After(1, sample)
		}
	}
	sample()
	return p
}

// PeakConnections is the highest number of connections that were open to one upstream at the same time.
type PeakConnections struct {
	OpenConns int
	Upstream  string
	At        clock.Millis // since the start of the tier
}
