package experiment

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
)

// One VM leaves as planned and joins again, while the view of another VM lags.
const (
	connLeavingVM = 3
	connLaggingVM = 8

	connLeaveAt clock.Millis = 100
	connJoinAt  clock.Millis = 2400
	connSeenMs  clock.Millis = 200

	// connHandoverMs is the time from the announcement of a change to the change
	// of carriers. It exceeds the usual lag of views, so that the VMs change over
	// together and the old carriers serve until then.
	connHandoverMs clock.Millis = 2200

	// connAskMs is how often a new carrier asks its predecessor whether it has
	// closed its connections.
	connAskMs clock.Millis = 10

	carriersEach = 2
	carrierLimit = connLimit * 45 / 100
	headroom     = connLimit - carriersEach*carrierLimit
)

// connRoute is what one VM knows of the carriers of one upstream.
type connRoute struct {
	vms    [carriersEach]int
	limits [carriersEach]int
	sent   [carriersEach]int // outstanding from this VM
	turn   int
}

// pick returns the carrier with the least outstanding work per connection.
func (r *connRoute) pick() int {
	a, b := r.sent[0]*r.limits[1], r.sent[1]*r.limits[0]
	r.turn++
	if a == b {
		return r.turn % carriersEach
	}
	if a < b {
		return 0
	}
	return 1
}

// connCarriers returns the two members with the highest rendezvous hash.
func connCarriers(upstream string, members []int) [carriersEach]int {
	ranked := slices.Clone(members)
	score := func(vm int) uint64 { return xxhash.Sum64String(upstream + "#" + strconv.Itoa(vm)) }
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
	return [carriersEach]int{ranked[0], ranked[1]}
}

// start sets the first view. Its carriers have their whole limit.
func (v *connVM) start(members []int) {
	for i, upstream := range v.fleet.upstreams {
		v.routes[i].vms = connCarriers(upstream, members)
		for k, vm := range v.routes[i].vms {
			v.routes[i].limits[k] = carrierLimit
			v.full[i] = v.full[i] || vm == v.index
		}
		v.applyLimit(i)
	}
}

// setMembers changes the view of v.
func (v *connVM) setMembers(members []int) {
	for i, upstream := range v.fleet.upstreams {
		old := v.routes[i]
		route := connRoute{vms: connCarriers(upstream, members)}
		replaced := connNotIn(old.vms, route.vms)
		fresh := connNotIn(route.vms, old.vms)
		for k, vm := range route.vms {
			route.limits[k] = carrierLimit
			if slices.Contains(fresh, vm) && !v.fleet.vms[vm].full[i] {
				route.limits[k] = headroom / len(fresh)
			}
		}
		v.routes[i] = route
		v.full[i] = v.full[i] && slices.Contains(route.vms[:], v.index)
		v.applyLimit(i)
		if n := slices.Index(fresh, v.index); n >= 0 {
			v.takeOver(i, v.fleet.vms[replaced[n]])
		}
	}
}

// connNotIn returns the VMs of a that are not in b.
func connNotIn(a, b [carriersEach]int) []int {
	var out []int
	for _, vm := range a {
		if !slices.Contains(b[:], vm) {
			out = append(out, vm)
		}
	}
	return out
}

// takeOver gives v the whole limit of a carrier once its predecessor has
// closed its connections. Until then v uses only its part of the headroom, so
// that no lag of views brings an upstream above its limit.
func (v *connVM) takeOver(i int, from *connVM) {
	upstream := v.fleet.upstreams[i]
	if !slices.Contains(v.routes[i].vms[:], v.index) {
		return
	}
	if from.pool.Limit(upstream) > 0 || from.pool.OpenConns(upstream) > 0 {
		v.fleet.loop.After(connAskMs, func() { v.takeOver(i, from) })
		return
	}
	v.full[i] = true
	for _, other := range v.fleet.vms {
		for k, vm := range other.routes[i].vms {
			if vm == v.index {
				other.routes[i].limits[k] = carrierLimit
			}
		}
	}
	v.applyLimit(i)
}

// applyLimit tells the own pool how many connections to open to an upstream.
func (v *connVM) applyLimit(i int) {
	limit := 0
	for k, vm := range v.routes[i].vms {
		if vm == v.index {
			limit = v.routes[i].limits[k]
		}
	}
	v.update(pool.LimitMsg{Upstream: v.fleet.upstreams[i], Connections: limit})
}

// scheduleChurn lets one VM leave and join again. Each change is announced
// with the time at which the carriers change; a VM that learns of it later
// follows at once.
func (f *connFleet) scheduleChurn(lag clock.Millis) {
	all := connMembers(-1)
	without := connMembers(connLeavingVM)
	for i, v := range f.vms {
		seen := connSeenMs
		if i == connLaggingVM {
			seen = lag
		}
		after := max(seen, connHandoverMs)
		f.loop.At(connLeaveAt+after, func() { v.setMembers(without) })
		f.loop.At(connJoinAt+after, func() { v.setMembers(all) })
	}
}

// setStatic gives v its share of 25/9 connections of each upstream. The
// remainder rotates over the VMs.
func (v *connVM) setStatic() {
	for i, upstream := range v.fleet.upstreams {
		share := connLimit / connVMs
		if (v.index+i)%connVMs < connLimit%connVMs {
			share++
		}
		v.routes[i] = connRoute{vms: [carriersEach]int{v.index, v.index}, limits: [carriersEach]int{1, 1}}
		v.update(pool.LimitMsg{Upstream: upstream, Connections: share})
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
