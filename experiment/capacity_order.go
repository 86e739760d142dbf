package experiment

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
)

const (
	claimSeconds = 20
	// With fewer claims, the state machine itself dominates the measured memory per claim.
	minClaimsForMemory = 10_000
	claimStepMs        = 10
	// Delay from a claim to its done mark: the wait for the batch and the service time of the upstream.
	doneDelayMs = 80
	// Size at which the head is sealed into a segment.
	sealThreshold = 64 << 10
)

// measureClaims measures the store calls of the claim owners by order rate, and the memory per claim.
func (c *capacityCosts) measureClaims(r *Report, m meter) {
	for _, perSecond := range []int{10, 100, 1000, 10_000} {
		size := fmt.Sprintf(", %d orders/s", perSecond)
		harness := newClaimHarness()
		orders := perSecond * claimSeconds
		var spent cost
		growth, _ := heapGrowth(func() *claimHarness {
			spent = m.measure(orders, func() { harness.run(perSecond) })
			return harness
		})
		c.claimBytes = (growth - float64(harness.storedBytes())) / float64(orders)
		c.claimWireBytes = float64(harness.storedBytes()) / float64(orders)
		r.AddUnbounded("store writes of an order"+size, "", 1, float64(harness.writes)/float64(orders))
		r.AtMost("store writes of all partitions"+size, "1/s", float64(perSecond), float64(harness.writes)/claimSeconds, maxStoreWrites)
		r.AddUnbounded("store reads of all partitions"+size, "1/s", 0, float64(harness.reads)/claimSeconds)
		r.AddUnbounded("bytes written to the store"+size, "MB/s", 0, float64(harness.writtenBytes)/claimSeconds/1e6)
		r.AtMost("largest value in the store"+size, "bytes", 0, float64(harness.largestValue), maxStoreValueBytes)
		r.AddUnbounded("claim in the store"+size, "bytes", 0, c.claimWireBytes)
		if orders >= minClaimsForMemory {
			r.AddUnbounded("claim in the cache of its owner"+size, "bytes", 0, c.claimBytes)
		}
		m.report(r, spent, "order at the owner", size)
	}
}

// claimHarness runs the owner of all partitions against a store that replies immediately.
type claimHarness struct {
	model                                     *order.Model
	now                                       clock.Millis
	seq                                       uint64
	entries                                   map[string]store.Entry
	revision                                  uint64
	writes, reads, writtenBytes, largestValue int
	unfinished                                []order.ClaimRequestMsg // claims without a done mark
}

func newClaimHarness() *claimHarness {
	return &claimHarness{
		model: order.New(order.WithSelf("vm-0001", 1)), now: 1_700_000_000_000, entries: make(map[string]store.Entry),
	}
}

func (c *claimHarness) run(perSecond int) {
	steps := claimSeconds * int(clock.Second) / claimStepMs
	submitted := 0
	for step := range steps {
		c.now += claimStepMs
		for ; submitted < (step+1)*perSecond*claimStepMs/int(clock.Second); submitted++ {
			c.claim()
		}
		c.markDone()
		c.perform(c.model.Update(c.now, order.TickMsg{}))
	}
}

func (c *claimHarness) claim() {
	c.seq++
	msg := order.ClaimRequestMsg{
		From: "vm-0002", Token: order.Token{VM: "vm-0002", Incarnation: 1, Seq: c.seq},
		ID: order.HashOf(fmt.Sprintf("%d-%d", c.now, c.seq)), IssuedAt: c.now, Timeout: 10 * clock.Second,
	}
	c.unfinished = append(c.unfinished, msg)
	c.perform(c.model.Update(c.now, msg))
}

func (c *claimHarness) markDone() {
	for len(c.unfinished) > 0 && c.unfinished[0].IssuedAt+doneDelayMs <= c.now {
		msg := c.unfinished[0]
		c.unfinished = c.unfinished[1:]
		msg.Op = order.OpMarkDone
		c.perform(c.model.Update(c.now, msg))
	}
}

func (c *claimHarness) perform(cmds []order.Cmd) {
	var calls []store.Request
	for _, cmd := range cmds {
		if call, ok := cmd.(order.StoreCmd); ok {
			calls = append(calls, call.Request)
		}
	}
	for _, call := range calls {
		c.perform(c.model.Update(c.now, order.StoreMsg{Reply: c.call(call)}))
	}
}

func (c *claimHarness) call(r store.Request) store.Reply {
	reply := store.Reply{Requester: r.Requester, Tag: r.Tag, Op: r.Op, Kind: store.KindOK}
	switch {
	case r.Op == store.OpGet:
		c.reads++
	case r.Revision != c.entries[r.Key].Revision:
		c.writes++
		reply.Kind = store.KindConflict
		return reply
	case r.Op == store.OpDelete:
		c.writes++
		delete(c.entries, r.Key)
	default:
		c.writes++
		c.revision++
		c.writtenBytes += len(r.Value)
		c.largestValue = max(c.largestValue, len(r.Value))
		c.entries[r.Key] = store.Entry{Key: r.Key, Value: append([]byte(nil), r.Value...), Revision: c.revision}
	}
	reply.Entry = c.entries[r.Key]
	return reply
}

// storedBytes returns the total size of all values in the store.
func (c *claimHarness) storedBytes() int {
	n := 0
	for _, e := range c.entries {
		n += len(e.Value)
	}
	return n
}

// extrapolateClaims adds the figures of 24 hours of claims at the given order rate of the fleet.
func (c *capacityCosts) extrapolateClaims(r *Report, perSecond float64) {
	size := fmt.Sprintf(", %g orders/s", perSecond)
	perPartition := perSecond * secondsPerDay / order.NumPartitions
	segments := perPartition * c.claimWireBytes / sealThreshold
	// The expected order rate in two years is not specified, so these figures have no bound.
	r.AddUnbounded("two years: 24 h of claims of one partition at its owner"+size, "MB", 0, perPartition*c.claimBytes/1e6)
	r.AddUnbounded("two years: segments that a new owner reads"+size, "", 0, segments)
	r.AddUnbounded("two years: 24 h of claims in the store"+size, "MB", 0, order.NumPartitions*perPartition*c.claimWireBytes/1e6)
}

// claimRateAt returns the order rate of the fleet, per second, at which 24 hours
// of claims of one partition use limitBytes.
func claimRateAt(limitBytes, claimBytes float64) float64 {
	return limitBytes / claimBytes * order.NumPartitions / secondsPerDay
}
