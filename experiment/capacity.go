package experiment

import (
	"fmt"
	"runtime"
)

// Sizes of section 1.7 of the design page.
const (
	targetVMs          = 1600.0
	targetUpstreams    = 9500.0
	targetQueries      = 230_000.0 // per second, in the whole fleet
	targetGroups       = 98.0
	targetDeadlineMs   = 180.0
	dataCentres        = 9.0
	secondsPerDay      = 86400.0
	maxStoreValueBytes = 1e6
)

// Rates per VM that follow from these sizes.
const (
	queriesPerVM  = targetQueries / targetVMs
	attemptsPerVM = queriesPerVM * targetGroups
	// Each restart removes and adds a member, and so does each failure with its replacement.
	memberChangesPerSecond = 2 * (restartsPerDay + failuresPerDay) / secondsPerDay
)

// Capacity measures the cost of one unit of each kind of work in the state
// machines at several sizes, and extrapolates it to the expected size of the
// fleet in two years. cpu returns the nanoseconds of a running clock; if it is
// nil, processor time is not measured. The run is single-threaded, so elapsed
// time overstates processor time on a busy machine. HTTP, system calls and the
// stream library are not included.
func Capacity(seed uint64, cpu func() int64) Report {
	r := Report{Name: "capacity", Seed: seed}
	m := meter{cpu: cpu}
	var c capacityCosts
	c.measureQueries(&r, m, seed)
	c.measurePools(&r, m)
	c.measurePeers(&r, m)
	c.measureAdmission(&r, m)
	c.measureTables(&r, m, seed)
	c.measureStatuses(&r, m)
	c.measureClaims(&r, m)
	c.measureEvents(&r)
	c.extrapolate(&r, m)
	return r
}

// capacityCosts holds the costs at the largest measured size.
type capacityCosts struct {
	query, attempt, decision   cost
	encode, decode             cost // of a forward and its result, summed
	join, leave, leaveDC       cost
	vmListUpdate, status       cost
	statusBytes                float64
	forwardAndResultBytes      float64 // encoded size of a forward and its result, summed
	openQueryBytes             float64
	balancerBytes, tableBytes  float64 // per upstream
	claimBytes, claimWireBytes float64 // per claim, in the memory of its owner and in the store
	eventBytes                 float64
}

// cost is the cost of one unit of work.
type cost struct{ ns, allocs, bytes float64 }

// meter measures processor time and allocations.
type meter struct{ cpu func() int64 }

// measure runs f, which performs n units of work, and returns the cost of one unit.
func (m meter) measure(n int, f func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var start, end int64
	if m.cpu != nil {
		start = m.cpu()
	}
	f()
	if m.cpu != nil {
		end = m.cpu()
	}
	runtime.ReadMemStats(&after)
	units := float64(n)
	return cost{
		ns:     float64(end-start) / units,
		allocs: float64(after.Mallocs-before.Mallocs) / units,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / units,
	}
}

// report adds the figures of cost c for one size.
func (m meter) report(r *Report, c cost, what, size string) {
	if m.cpu != nil {
		r.AddUnbounded(what+" time"+size, "us", 0, c.ns/1e3)
	}
	r.AddUnbounded(what+" allocations"+size, "", 0, c.allocs)
	r.AddUnbounded(what+" allocated"+size, "bytes", 0, c.bytes)
}

// heapGrowth returns the heap bytes that the value returned by build keeps in use, and that value.
func heapGrowth[T any](build func() T) (float64, T) {
	runtime.GC() // pooled buffers are only freed by the second collection
	before := heapBytes()
	built := build()
	runtime.GC()
	after := heapBytes()
	runtime.KeepAlive(&built)
	return after - before, built
}

// extrapolate computes the figures of the two-year size from the measured costs.
func (c *capacityCosts) extrapolate(r *Report, m meter) {
	if m.cpu != nil {
		c.extrapolateTime(r)
	}
	r.AddUnbounded("two years: queries of a VM", "1/s", 0, queriesPerVM)
	r.AddUnbounded("two years: sub-requests sent by a VM", "1/s", 0, attemptsPerVM)
	r.AddUnbounded("two years: upstreams carried by a VM", "", 0, targetUpstreams*carriersPerUpstream/targetVMs)
	r.AddUnbounded("two years: peer traffic of a VM, each way", "MB/s", 0, attemptsPerVM*c.forwardAndResultBytes/1e6)
	r.AddUnbounded("two years: peer streams of a VM", "", 0, peerStreams(targetVMs))
	r.AddUnbounded("two years: open queries of a VM", "MB", 0, queriesPerVM*targetDeadlineMs/1e3*c.openQueryBytes/1e6)
	r.AddUnbounded("two years: book of upstreams in a VM", "MB", 0, targetUpstreams*c.balancerBytes/1e6)
	r.AddUnbounded("two years: ring of events in a VM", "MB", 0, ringCapacity*c.eventBytes/1e6)
	r.AtMost("two years: carrier table of a VM", "MB", 0, targetUpstreams*c.tableBytes/1e6, maxControlMB)
	r.AddUnbounded("two years: answers to one question for the status of the fleet", "MB", 0, targetVMs*c.statusBytes/1e6)
	for _, perSecond := range []float64{1, 10, 100, 1000} {
		c.extrapolateClaims(r, perSecond)
	}
	r.Notes = append(r.Notes,
		fmt.Sprintf("sizes: %g VMs, %g upstreams, %g queries/s to %g groups each", targetVMs, targetUpstreams, targetQueries, targetGroups),
		"two-year figures are computed from the figures above at the largest size; HTTP, system calls and the stream library are not included",
		fmt.Sprintf("an owner's cache of claims reaches %g MB at %.3g orders/s of the fleet", maxControlMB, claimRateAt(maxControlMB*1e6, c.claimBytes)))
}

func (c *capacityCosts) extrapolateTime(r *Report) {
	corePercent := func(ns, perSecond float64) float64 { return 100 * ns * perSecond / 1e9 }
	query := corePercent(c.query.ns, queriesPerVM)
	pool := corePercent(c.attempt.ns, attemptsPerVM)
	// Each VM encodes and decodes both as the sender and as the carrier of delegated work.
	peer := corePercent(c.encode.ns+c.decode.ns, 2*attemptsPerVM)
	admission := corePercent(c.decision.ns, queriesPerVM)
	r.AddUnbounded("two years: query machine of a VM", "% core", 0, query)
	r.AddUnbounded("two years: pool machine of a VM", "% core", 0, pool)
	r.AddUnbounded("two years: peer encoding of a VM", "% core", 0, peer)
	r.AddUnbounded("two years: admission of a VM", "% core", 0, admission)
	r.AtMost("two years: machines on the event loop of a VM", "% core", 0, query+pool+admission, 100)
	members := corePercent((c.join.ns+c.leave.ns)/2+c.vmListUpdate.ns, memberChangesPerSecond)
	r.AtMost("two years: carrier and owner tables of a VM", "% core", 0, members, maxControlCorePercent)
	r.AddUnbounded("two years: longest stop of the event loop, one VM joins", "ms", 0, c.join.ns/1e6)
	r.AddUnbounded("two years: longest stop of the event loop, a data centre leaves", "ms", 0, c.leaveDC.ns/1e6)
}
