package experiment

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
)

// One VM leaves gracefully and joins again, while another VM sees both changes late.
const (
	connLeavingVM = 3
	connLaggingVM = 8

	connLeaveAt   clock.Millis = 100
	connJoinAt    clock.Millis = 2400
	connViewLagMs clock.Millis = 200

	// connCarrierChangeMs is the delay from the announcement of a membership change
	// to the change of carriers. It exceeds the usual propagation delay of membership,
	// so that all VMs switch together and the old carriers serve until then.
	connCarrierChangeMs clock.Millis = 2200

	// connPollMs is the interval at which a new carrier checks whether its
	// predecessor has closed its connections.
	connPollMs clock.Millis = 10

	carriersPerUpstream = 2
	fullCarrierLimit    = connLimit * 45 / 100
	carrierHeadroom     = connLimit - carriersPerUpstream*fullCarrierLimit
)

// connRoute is one VM's view of the carriers of one upstream.
type connRoute struct {
	vms         [carriersPerUpstream]int
	limits      [carriersPerUpstream]int
	outstanding [carriersPerUpstream]int // sub-requests of this VM in flight
	tieBreak    int
}

// pick returns the index of the carrier with the least outstanding work per connection.
func (r *connRoute) pick() int {
	a, b := r.outstanding[0]*r.limits[1], r.outstanding[1]*r.limits[0]
	r.tieBreak++
	if a == b {
		return r.tieBreak % carriersPerUpstream
	}
	if a < b {
		return 0
	}
	return 1
}

// connCarriers returns the two members with the highest rendezvous hash for the upstream.
func connCarriers(upstream string, members []int) [carriersPerUpstream]int {
	ranked := slices.Clone(members)
	score := func(vm int) uint64 { return xxhash.Sum64String(upstream + "#" + strconv.Itoa(vm)) }
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
	return [carriersPerUpstream]int{ranked[0], ranked[1]}
}

// setInitialMembers sets the first view. Its carriers start with the full limit.
func (v *connVM) setInitialMembers(members []int) {
	for i, upstream := range v.fleet.upstreams {
		v.routes[i].vms = connCarriers(upstream, members)
		for k, vm := range v.routes[i].vms {
			v.routes[i].limits[k] = fullCarrierLimit
			v.fullLimit[i] = v.fullLimit[i] || vm == v.index
		}
		v.applyLimit(i)
	}
}

// setMembers replaces the view of v.
func (v *connVM) setMembers(members []int) {
	for i, upstream := range v.fleet.upstreams {
		old := v.routes[i]
		route := connRoute{vms: connCarriers(upstream, members)}
		removed := connDifference(old.vms, route.vms)
		added := connDifference(route.vms, old.vms)
		for k, vm := range route.vms {
			route.limits[k] = fullCarrierLimit
			if slices.Contains(added, vm) && !v.fleet.vms[vm].fullLimit[i] {
				route.limits[k] = carrierHeadroom / len(added)
			}
		}
		v.routes[i] = route
		v.fullLimit[i] = v.fullLimit[i] && slices.Contains(route.vms[:], v.index)
		v.applyLimit(i)
		if n := slices.Index(added, v.index); n >= 0 {
			v.awaitPredecessor(i, v.fleet.vms[removed[n]])
		}
	}
}

// connDifference returns the VMs in a that are not in b.
func connDifference(a, b [carriersPerUpstream]int) []int {
	var out []int
	for _, vm := range a {
		if !slices.Contains(b[:], vm) {
			out = append(out, vm)
		}
	}
	return out
}

// awaitPredecessor gives v the full limit of a carrier once its predecessor has
// closed its connections. Until then v only uses its part of the headroom, so that
// stale membership views never bring an upstream above its limit.
func (v *connVM) awaitPredecessor(i int, predecessor *connVM) {
	upstream := v.fleet.upstreams[i]
	if !slices.Contains(v.routes[i].vms[:], v.index) {
		return
	}
	if predecessor.pool.Limit(upstream) > 0 || predecessor.pool.OpenConns(upstream) > 0 {
		v.fleet.loop.After(connPollMs, func() { v.awaitPredecessor(i, predecessor) })
		return
	}
	v.fullLimit[i] = true
	for _, other := range v.fleet.vms {
		for k, vm := range other.routes[i].vms {
			if vm == v.index {
				other.routes[i].limits[k] = fullCarrierLimit
			}
		}
	}
	v.applyLimit(i)
}

// applyLimit sets the connection limit of an upstream in the pool of v.
func (v *connVM) applyLimit(i int) {
	limit := 0
	for k, vm := range v.routes[i].vms {
		if vm == v.index {
			limit = v.routes[i].limits[k]
		}
	}
	v.update(pool.LimitMsg{Upstream: v.fleet.upstreams[i], Connections: limit})
}

// scheduleLeaveAndJoin makes one VM leave and join again. Each change is announced
// with the time at which the carriers change; a VM that receives it later
// switches immediately.
func (f *connFleet) scheduleLeaveAndJoin(lag clock.Millis) {
	all := connMembers(-1)
	without := connMembers(connLeavingVM)
	for i, v := range f.vms {
		viewLag := connViewLagMs
		if i == connLaggingVM {
			viewLag = lag
		}
		delay := max(viewLag, connCarrierChangeMs)
		f.loop.At(connLeaveAt+delay, func() { v.setMembers(without) })
		f.loop.At(connJoinAt+delay, func() { v.setMembers(all) })
	}
}

// setStaticLimits gives v its share of 25/9 connections of each upstream. The
// remainder rotates over the VMs.
func (v *connVM) setStaticLimits() {
	for i, upstream := range v.fleet.upstreams {
		connections := connLimit / connVMs
		if (v.index+i)%connVMs < connLimit%connVMs {
			connections++
		}
		v.routes[i] = connRoute{vms: [carriersPerUpstream]int{v.index, v.index}, limits: [carriersPerUpstream]int{1, 1}}
		v.update(pool.LimitMsg{Upstream: upstream, Connections: connections})
	}
}

func connMembers(without int) []int {
	var members []int
	for i := range connVMs {
		if i != without {
			members = append(members, i)
		}
	}
	return members
}
