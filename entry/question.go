package entry

import (
	"context"
	"encoding/json"
	"sync"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

const (
	// questionLimit bounds the wait for other VMs, so that a lost VM delays an
	// operator's answer only this long.
	questionLimit = 1500 * clock.Millis(1)
	// maxPeerEvents bounds the events in one answer, because a message between
	// VMs may not exceed 4 MB.
	maxPeerEvents = 4096
)

// questions tracks the operators' questions that were passed to other VMs.
type questions struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan<- []byte
}

func newQuestions() *questions { return &questions{open: make(map[uint64]chan<- []byte)} }

// begin registers a question. The channel receives the one answer; it is empty
// if the question was not sent.
func (q *questions) begin() (uint64, <-chan []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	ch := make(chan []byte, 1)
	q.open[q.last] = ch
	return q.last, ch
}

func (q *questions) resolve(t vm.AdminResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ch, ok := q.open[t.ID]; ok {
		delete(q.open, t.ID)
		ch <- t.Payload
	}
}

func (q *questions) drop(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, id)
}

// answerPeer answers another VM's question from the core. It runs on the
// goroutine that reads the stream; the event loop serves it between messages.
func (v *VM) answerPeer(from string, q vm.AdminRequest) {
	var doc any
	var address string
	err := v.view(func(core *vm.Core, now clock.Millis) {
		address = core.Address(from)
		doc = answerFor(core, now, q)
	})
	if err != nil || address == "" {
		return
	}
	payload, err := json.Marshal(doc)
	if err != nil {
		return
	}
	v.mesh.Send(from, address, clock.Timestamp{}, vm.AdminResponse{ID: q.ID, Payload: payload})
}

func answerFor(core *vm.Core, now clock.Millis, q vm.AdminRequest) any {
	if q.Kind == vm.AdminEvents {
		var f timeline.Filter
		if err := json.Unmarshal(q.Payload, &f); err != nil {
			return nil
		}
		return newest(core.Events(f), maxPeerEvents)
	}
	status := core.Status(now)
	status.Members = nil // the VM that asks has its own list, which grows with the fleet
	return status
}

func newest(events []timeline.Event, n int) []timeline.Event {
	return events[max(0, len(events)-n):]
}

// askMember passes a question to one member and decodes the answer.
func askMember[T any](ctx context.Context, v *VM, m fleet.VM, kind vm.AdminKind, payload []byte) (T, bool) {
	var doc T
	id, answer := v.told.begin()
	defer v.told.drop(id)
	v.mesh.Send(m.ID, m.Address, clock.Timestamp{}, vm.AdminRequest{ID: id, Kind: kind, Payload: payload})
	select {
	case data := <-answer:
		return doc, len(data) > 0 && json.Unmarshal(data, &doc) == nil
	case <-ctx.Done():
		return doc, false
	}
}

// askMembers asks every other member that is not dead, all at once. Members
// that do not answer in time are returned as silent.
func askMembers[T any](ctx context.Context, v *VM, members []fleet.VM, kind vm.AdminKind, payload []byte) (answers []T, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, questionLimit.Duration())
	defer cancel()
	type result struct {
		member string
		doc    T
		ok     bool
	}
	results := make(chan result, len(members))
	asked := 0
	for _, m := range members {
		if m.ID == v.self.ID || m.State == fleet.Dead {
			continue
		}
		asked++
		go func() {
			doc, ok := askMember[T](ctx, v, m, kind, payload)
			results <- result{m.ID, doc, ok}
		}()
	}
	for range asked {
		r := <-results
		if !r.ok {
			silent = append(silent, r.member)
			continue
		}
		answers = append(answers, r.doc)
	}
	return answers, silent
}
