package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// newCarrierFactor: a new carrier counts as this many times slower than the
	// slowest known one until it replies, because it starts with few connections.
	newCarrierFactor = 4
	// notCarrierBackoffMs is how long a VM that did not carry the upstream is not asked
	// again. The views of the two VMs agree within this time.
	notCarrierBackoffMs = clock.Second
)

// sampleWeight is the weight of a new sample in the mean time at a carrier.
const sampleWeight = 0.25

// carrierLoad is what this VM knows about its attempts through one carrier of
// one upstream.
type carrierLoad struct {
	vm          string
	outstanding int
	meanMs      float64 // moving mean of queue wait and service
	avoidUntil  clock.Millis
}

// carrierLoads holds the loads by upstream, in the order of the carrier table.
type carrierLoads [][]carrierLoad

func (ls carrierLoads) find(i int, vm string) *carrierLoad {
	for j := range ls[i] {
		if ls[i][j].vm == vm {
			return &ls[i][j]
		}
	}
	return nil
}

// setCarriers drops the loads of VMs that no longer carry upstream i.
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

// expectedMs weighs the outstanding attempts by their time. The other VMs'
// attempts show only in the time, so both are needed.
func (l *carrierLoad) expectedMs() float64 { return float64(l.outstanding+1) * max(l.meanMs, 1) }

// attemptSent counts an attempt through a carrier.
func (c *Core) attemptSent(up, carrier string) {
	if l := c.loadOf(up, carrier); l != nil {
		l.outstanding++
	}
}

// attemptEnded counts the end of an attempt through a carrier.
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
