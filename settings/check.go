package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"lentillink.example/lentillink/clock"
)

// Bounds of the numeric fields.
const (
	MaxConnections      = 10_000
	MaxTimeoutMs        = 10 * clock.Minute
	MaxRequestBodyBytes = 64 << 20
	MinRingEvents       = 16
	MaxRingEvents       = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker finds values that are well formed but cannot be used.
type checker struct {
	*binder
	addresses map[string]string // address to the path that uses it
}

func (c *checker) check(doc *Document) {
	c.name("vm", doc.VM)
	c.name("data_centre", doc.DataCentre)
	c.address("addresses.callers", doc.Addresses.Callers, "")
	c.address("addresses.peers", doc.Addresses.Peers, "")
	c.address("addresses.admin", doc.Addresses.Admin, doc.Addresses.Callers)
	c.address("store", doc.Store, "")
	c.address("vm_list", doc.VMList, "")
	c.timeouts(&doc.Timeouts)
	c.number("limits.request_body_bytes", int64(doc.Limits.RequestBodyBytes), 1, MaxRequestBodyBytes)
	c.number("limits.ring_events", int64(doc.Limits.RingEvents), MinRingEvents, MaxRingEvents)
	c.services(doc.Services)
}

func (c *checker) timeouts(t *Timeouts) {
	for _, f := range []struct {
		path string
		ms   clock.Millis
	}{
		{"timeouts.store_ms", t.StoreMs},
		{"timeouts.vm_list_ms", t.VMListMs},
		{"timeouts.peer_ms", t.PeerMs},
		{"timeouts.connect_ms", t.ConnectMs},
		{"timeouts.idle_connection_ms", t.IdleConnectionMs},
	} {
		c.number(f.path, int64(f.ms), 1, int64(MaxTimeoutMs))
	}
}

func (c *checker) services(services []Service) {
	if len(services) == 0 {
		c.refuse("services", "is empty, want at least one service")
	}
	names := make(map[string]string)
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", s.Name)
		c.unique(names, path+".name", s.Name)
		if len(s.Groups) == 0 {
			c.refuse(path+".groups", "is empty, want at least one group")
			continue
		}
		c.groups(path, s)
	}
}

func (c *checker) groups(path string, s Service) {
	names := make(map[string]string)
	inSpace := true
	for i, g := range s.Groups {
		at := fmt.Sprintf("%s.groups[%d]", path, i)
		c.name(at+".name", g.Name)
		c.unique(names, at+".name", g.Name)
		inSpace = c.keyRange(at, g, s.Keys) && inSpace
		c.replicas(at, g.Replicas)
	}
	if inSpace && s.Keys > 0 {
		c.partition(path, s)
	}
}

func (c *checker) keyRange(path string, g Group, keys uint32) bool {
	switch {
	case keys == 0 && (g.From != 0 || g.To != 0):
		c.refuse(path+".to", "is %d, want no from and no to in a service without keys", g.To)
	case keys == 0:
		return true
	case g.To > keys:
		c.refuse(path+".to", "is %d and leaves the key space, want %d to %d", g.To, min(g.From+1, keys), keys)
	case g.From >= g.To:
		c.refuse(path+".from", "is %d, want less than to, which is %d", g.From, g.To)
	default:
		return true
	}
	return false
}

// partition requires that the groups split the key space: an overlap would
// count keys twice, and a gap would make a complete answer impossible.
func (c *checker) partition(path string, s Service) {
	order := make([]int, len(s.Groups))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Groups[a].From, s.Groups[b].From) })
	next, last := uint32(0), -1
	for _, i := range order {
		g := s.Groups[i]
		at := fmt.Sprintf("%s.groups[%d].from", path, i)
		if g.From < next {
			c.refuse(at, "is %d and overlaps groups[%d], want %d", g.From, last, next)
		}
		if g.From > next {
			c.refuse(at, "is %d and leaves keys %d to %d without a group, want %d", g.From, next, g.From-1, next)
		}
		if g.To > next {
			next, last = g.To, i
		}
	}
	if next < s.Keys {
		c.refuse(path+".keys", "is %d but the groups end at %d, want %d", s.Keys, next, next)
	}
}

func (c *checker) replicas(path string, replicas []Replica) {
	if len(replicas) == 0 {
		c.refuse(path+".replicas", "is empty, want at least one replica")
	}
	names := make(map[string]string)
	for i, r := range replicas {
		at := fmt.Sprintf("%s.replicas[%d]", path, i)
		c.name(at+".name", r.Name)
		c.unique(names, at+".name", r.Name)
		c.address(at+".address", r.Address, "")
		c.number(at+".connections", int64(r.Connections), 1, MaxConnections)
		c.number(at+".connect_ms", int64(r.ConnectMs), 0, int64(clock.Minute))
	}
}

func (c *checker) number(path string, n, low, high int64) {
	if n < low || n > high {
		c.refuse(path, "is %d, want %d to %d", n, low, high)
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.refuse(path, "is %q, want 1 to 63 of a-z, 0-9 and -, not starting with -", name)
	}
}

func (c *checker) unique(seen map[string]string, path, value string) {
	if first, ok := seen[value]; ok && value != "" {
		c.refuse(path, "is %q like %s, want a unique value", value, first)
		return
	}
	seen[value] = path
}

// address checks the form of an address and that no other field uses it. An
// address equal to shared may repeat.
func (c *checker) address(path, address, shared string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		c.refuse(path, "is %q, want an IP address and a port from 1 to 65535, such as 127.0.0.1:8080", address)
		return
	}
	if address == shared {
		return
	}
	c.unique(c.addresses, path, address)
}
