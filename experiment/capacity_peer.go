package experiment

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

const (
	capacityMessages = 20_000
	ringCapacity     = float64(timeline.DefaultCapacity)
)

// measurePeers measures the messages between VMs for several result sizes.
func (c *capacityCosts) measurePeers(r *Report, m meter) {
	id := attempt.ID{VM: "vm-0001", Incarnation: 1_700_000_000_000, Seq: 123_456_789}
	up := "search/planner-0042/a"
	forward := vm.Forward{Request: attempt.Request{
		ID: id, Upstream: up, Service: capacityService, Group: "planner-0042", Priority: 1 << 31, Deadline: 180,
		Version: capacityVersion, Body: []byte(`{"plot":"north 14","name":"Korhonen"}`),
	}}
	for _, rows := range []int{0, 100, capacityKeys} { // the extrapolation uses the last size
		result := vm.Result{Reply: attempt.Reply{
			ID: id, Upstream: up, Execution: attempt.Executed, Version: capacityVersion, Epoch: 1, HeldVersions: []uint64{capacityVersion},
			Ranges: []coverage.Range{{From: 420, To: 430}}, Rows: capacityRows(420, rows), QueueMs: 1, ServiceMs: 8,
		}}
		size := fmt.Sprintf(", %d rows", rows)
		encoded := [][]byte{marshalBody(forward), marshalBody(result)}
		r.AddUnbounded("forward on the wire"+size, "bytes", 0, float64(len(encoded[0])))
		r.AddUnbounded("result on the wire"+size, "bytes", 0, float64(len(encoded[1])))
		c.forwardAndResultBytes = float64(len(encoded[0]) + len(encoded[1]))
		c.encode = m.measure(capacityMessages, func() {
			for range capacityMessages {
				marshalBody(forward)
				marshalBody(result)
			}
		})
		c.decode = m.measure(capacityMessages, func() {
			for range capacityMessages {
				unmarshalBody(encoded[0])
				unmarshalBody(encoded[1])
			}
		})
		m.report(r, c.encode, "encoding a forward and its result", size)
		m.report(r, c.decode, "decoding a forward and its result", size)
	}
}

func marshalBody(body vm.PeerBody) []byte {
	data, err := proto.Marshal(peer.Encode(0, clock.Timestamp{WallMs: 1_700_000_000_000}, body))
	if err != nil {
		panic(err) // cannot happen: the message is built here
	}
	return data
}

func unmarshalBody(data []byte) {
	env := &peerpb.Envelope{}
	if err := proto.Unmarshal(data, env); err != nil {
		panic(err)
	}
	if _, _, err := peer.Decode(0, env); err != nil {
		panic(err)
	}
}

// measureEvents measures the memory of the event ring with typical event texts.
func (c *capacityCosts) measureEvents(r *Report) {
	for _, n := range []int{1024, 4096, timeline.DefaultCapacity} {
		growth, _ := heapGrowth(func() *timeline.Ring {
			ring := timeline.NewRing("vm-0001", n)
			for i := range n {
				ring.Add(clock.Millis(i), timeline.Event{
					Kind: timeline.Retried, Request: fmt.Sprintf("%d-request", i), Upstream: fmt.Sprintf("search/planner-%04d/a", i),
					Rank: "ordinary", Detail: fmt.Sprintf("timed_out %d", i),
				})
			}
			return ring
		})
		c.eventBytes = growth / float64(n)
		r.AddUnbounded(fmt.Sprintf("event in the ring memory, %d events", n), "bytes", 0, c.eventBytes)
	}
}
