package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// newCarrierFactor is how many times slower than the slowest known carrier a
	// new carrier is assumed to be until it replies, because it starts with few
	// connections.
	newCarrierFactor = 4
	// notCarrierBackoffMs is how long a VM that replied not_carrier gets no more
	// attempts for the upstream. The membership views of the two VMs converge
	// within this time.
	notCarrierBackoffMs = clock.Second
)

// sampleWeight is the weight of a new sample in the moving mean of the time at
// a carrier.
const sampleWeight = 0.25

// carrierLoad is the load of one carrier of one upstream, as measured by the
// attempts that this VM sends through it.
type carrierLoad struct {
	vm          string
	outstanding int
	meanMs      float64 // moving mean of queue time plus service time
	avoidUntil  clock.Millis
}

// carrierLoads holds the loads per upstream, in the order of the carrier table.
type carrierLoads [][]carrierLoad

func (ls carrierLoads) find(i int, vm string) *carrierLoad {
	for j := range ls[i] {
		if ls[i][j].vm == vm {
			return &ls[i][j]
		}
	}
	return nil
}

// setCarriers sets the carriers of upstream i. It keeps the loads of those that
// were carriers before and drops the others.
func (ls carrierLoads) setCarriers(i int, carriers []candidate) {
	var next []carrierLoad
	for _, s := range carriers {
		if l := ls.find(i, s.vm); l != nil {
			next = append(next, *l)
		} else {
			next = append(next, carrierLoad{vm: s.vm, meanMs: newCarrierFactor * ls.slowestMs(i)})
		}
	}
	ls[i] = next
}

func (ls carrierLoads) slowestMs(i int) float64 {
	ms := 0.0
	for _, l := range ls[i] {
		ms = max(ms, l.meanMs)
	}
	return ms
}

// expectedMs estimates the time of one more attempt from the number of
// outstanding attempts and their mean time. The load of other VMs shows only in
// the mean time, so both are needed.
func (l *carrierLoad) expectedMs() float64 { return float64(l.outstanding+1) * max(l.meanMs, 1) }

// attemptSent counts an attempt through a carrier as outstanding.
func (c *Core) attemptSent(up, carrier string) {
	if l := c.loadOf(up, carrier); l != nil {
		l.outstanding++
	}
}

// attemptEnded records the end of an attempt through a carrier and its times.
func (c *Core) attemptEnded(now clock.Millis, up, carrier string, r attempt.Reply) {
	l := c.loadOf(up, carrier)
	if l == nil {
		return
	}
	l.outstanding = max(l.outstanding-1, 0)
	if r.Status == attempt.NotCarrier {
		l.avoidUntil = now + notCarrierBackoffMs
	}
	if r.Status != attempt.OK {
		return
	}
	took := float64(r.QueueMs + r.ServiceMs)
	if l.meanMs == 0 {
		l.meanMs = took
	}
	l.meanMs += sampleWeight * (took - l.meanMs)
}

func (c *Core) loadOf(up, carrier string) *carrierLoad {
	i, ok := c.carriers.index[up]
	if !ok {
		return nil
	}
	return c.loads.find(i, carrier)
}
