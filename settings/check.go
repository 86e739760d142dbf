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

// checker validates values after they have been decoded.
type checker struct {
	*binder
	addresses map[string]string // address to the path of its field
}

func (c *checker) checkDocument(doc *Document) {
	c.checkName("vm", doc.VM)
	c.checkName("data_centre", doc.DataCentre)
	c.checkAddress("addresses.callers", doc.Addresses.Callers, "")
	c.checkAddress("addresses.peers", doc.Addresses.Peers, "")
	c.checkAddress("addresses.admin", doc.Addresses.Admin, doc.Addresses.Callers)
	c.checkAddress("store", doc.Store, "")
	c.checkAddress("vm_list", doc.VMList, "")
	c.checkTimeouts(&doc.Timeouts)
	c.checkNumber("limits.request_body_bytes", int64(doc.Limits.RequestBodyBytes), 1, MaxRequestBodyBytes)
	c.checkNumber("limits.ring_events", int64(doc.Limits.RingEvents), MinRingEvents, MaxRingEvents)
	c.checkServices(doc.Services)
	c.checkCustomers(doc.Customers)
}

func (c *checker) checkTimeouts(t *Timeouts) {
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
		c.checkNumber(f.path, int64(f.ms), 1, int64(MaxTimeoutMs))
	}
}

func (c *checker) checkServices(services []Service) {
	if len(services) == 0 {
		c.reject("services", "is empty, want at least one service")
	}
	names := make(map[string]string)
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", s.Name)
		c.checkUnique(names, path+".name", s.Name)
		if len(s.Groups) == 0 {
			c.reject(path+".groups", "is empty, want at least one group")
			continue
		}
		c.checkGroups(path, s)
	}
}

func (c *checker) checkGroups(path string, s Service) {
	names := make(map[string]string)
	rangesValid := true
	for i, g := range s.Groups {
		groupPath := fmt.Sprintf("%s.groups[%d]", path, i)
		c.checkName(groupPath+".name", g.Name)
		c.checkUnique(names, groupPath+".name", g.Name)
		rangesValid = c.checkKeyRange(groupPath, g, s.Keys) && rangesValid
		c.checkReplicas(groupPath, g.Replicas)
	}
	if rangesValid && s.Keys > 0 {
		c.checkPartition(path, s)
	}
}

func (c *checker) checkKeyRange(path string, g Group, keys uint32) bool {
	switch {
	case keys == 0 && (g.From != 0 || g.To != 0):
		c.reject(path+".to", "is %d, want no from and no to in a service without keys", g.To)
	case keys == 0:
		return true
	case g.To > keys:
		c.reject(path+".to", "is %d and leaves the key space, want %d to %d", g.To, min(g.From+1, keys), keys)
	case g.From >= g.To:
		c.reject(path+".from", "is %d, want less than to, which is %d", g.From, g.To)
	default:
		return true
	}
	return false
}

// checkPartition requires that the groups cover the key space exactly once. With
// an overlap, keys would count twice; with a gap, no answer could be complete.
func (c *checker) checkPartition(path string, s Service) {
	byFrom := make([]int, len(s.Groups))
	for i := range byFrom {
		byFrom[i] = i
	}
	slices.SortStableFunc(byFrom, func(a, b int) int { return cmp.Compare(s.Groups[a].From, s.Groups[b].From) })
	nextKey, lastGroup := uint32(0), -1
	for _, i := range byFrom {
		g := s.Groups[i]
		fromPath := fmt.Sprintf("%s.groups[%d].from", path, i)
		if g.From < nextKey {
			c.reject(fromPath, "is %d and overlaps groups[%d], want %d", g.From, lastGroup, nextKey)
		}
		if g.From > nextKey {
			c.reject(fromPath, "is %d and leaves keys %d to %d without a group, want %d", g.From, nextKey, g.From-1, nextKey)
		}
		if g.To > nextKey {
			nextKey, lastGroup = g.To, i
		}
	}
	if nextKey < s.Keys {
		c.reject(path+".keys", "is %d but the groups end at %d, want %d", s.Keys, nextKey, nextKey)
	}
}

func (c *checker) checkReplicas(path string, replicas []Replica) {
	if len(replicas) == 0 {
		c.reject(path+".replicas", "is empty, want at least one replica")
	}
	names := make(map[string]string)
	for i, r := range replicas {
		replicaPath := fmt.Sprintf("%s.replicas[%d]", path, i)
		c.checkName(replicaPath+".name", r.Name)
		c.checkUnique(names, replicaPath+".name", r.Name)
		c.checkAddress(replicaPath+".address", r.Address, "")
		c.checkNumber(replicaPath+".connections", int64(r.Connections), 1, MaxConnections)
		c.checkNumber(replicaPath+".connect_ms", int64(r.ConnectMs), 0, int64(clock.Minute))
	}
}

func (c *checker) checkNumber(path string, n, low, high int64) {
	if n < low || n > high {
		c.reject(path, "is %d, want %d to %d", n, low, high)
	}
}

func (c *checker) checkFraction(path string, x float64, low, high int64) {
	if x < float64(low) || x > float64(high) {
		c.reject(path, "is %v, want a number from %d to %d", x, low, high)
	}
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.reject(path, "is %q, want 1 to 63 of a-z, 0-9 and -, not starting with -", name)
	}
}

func (c *checker) checkUnique(seen map[string]string, path, value string) {
	if first, ok := seen[value]; ok && value != "" {
		c.reject(path, "is %q like %s, want a unique value", value, first)
		return
	}
	seen[value] = path
}

// checkAddress requires an IP address and port that no other field uses. An
// address equal to mayEqual is exempt from the uniqueness check.
func (c *checker) checkAddress(path, address, mayEqual string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		c.reject(path, "is %q, want an IP address and a port from 1 to 65535, such as 127.0.0.1:8080", address)
		return
	}
	if address == mayEqual {
		return
	}
	c.checkUnique(c.addresses, path, address)
}
