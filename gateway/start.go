package gateway

import "lentillink.example/lentillink/clock"

// maxStartWaitMs bounds the time for which a VM that starts waits for a configuration that
// other VMs have had. Operators write a lost one again within about 2 s.
const maxStartWaitMs = 10 * clock.Second

// start decides when a VM that starts may use what it has read. After the store has come back
// from an older copy, the newest configuration may be missing there. The other VMs still have
// it in force, and say so in their entries.
type start struct {
	done        bool
	waitingFrom clock.Millis
}

// mayUse reports whether a VM may use a version of the configuration, when the highest one in
// the entries of the VMs is fleetVersion.
func (s *start) mayUse(now clock.Millis, version, fleetVersion uint64) bool {
	if s.waitingFrom == 0 {
		s.waitingFrom = now
	}
	s.done = s.done || version >= fleetVersion || now >= s.waitingFrom+maxStartWaitMs
	return s.done
}

// mayApply reports whether the changes that the catalog has reported may come into force.
func (g *Gateway) mayApply() bool {
	if g.start.done || !g.catalog.Current() {
		return g.start.done
	}
	var version, fleetVersion uint64
	for _, c := range g.unapplied {
		if _, ok := g.decoder.UpstreamID(c.item.Key); ok || c.item.Removed {
			continue
		}
		switch d, err := g.decodeItem(c.item); {
		case err != nil: // reported when the item is applied
		case d.Table != nil:
			version = max(version, d.Table.Version())
		case d.VM != nil:
			fleetVersion = max(fleetVersion, d.VM.ConfigVersion)
		}
	}
	ok := g.start.mayUse(g.clock.Now(), version, fleetVersion)
	if !ok {
		_ = g.logger.Log("event", "configuration_awaited", "version", version, "fleet", fleetVersion)
	}
	return ok
}
