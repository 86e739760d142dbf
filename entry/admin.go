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
	// adminTimeout bounds the wait for responses of other VMs. It is the longest
	// delay that an unreachable VM adds to an operator's request.
	adminTimeout = 1500 * clock.Millis(1)
	// maxPeerEvents bounds the events in one response, because messages between
	// VMs are limited to 4 MB.
	maxPeerEvents = 4096
)

// pendingRequests tracks the admin requests to other VMs that have no response yet.
type pendingRequests struct {
	mu        sync.Mutex
	lastID    uint64
	responses map[uint64]chan<- []byte
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: make(map[uint64]chan<- []byte)}
}

// add registers a request and returns its ID. The channel receives one response,
// which is empty if the request was not sent.
func (p *pendingRequests) add() (uint64, <-chan []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	ch := make(chan []byte, 1)
	p.responses[p.lastID] = ch
	return p.lastID, ch
}

func (p *pendingRequests) resolve(response vm.AdminResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.responses[response.ID]; ok {
		delete(p.responses, response.ID)
		ch <- response.Payload
	}
}

func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, id)
}

// serveAdminRequest responds to an admin request of another VM with data from the
// core. It runs on the goroutine that reads the stream; the event loop reads the
// core between two messages.
func (v *VM) serveAdminRequest(from string, req vm.AdminRequest) {
	var doc any
	var address string
	err := v.readCore(func(core *vm.Core, now clock.Millis) {
		address = core.Address(from)
		doc = adminDocument(core, now, req)
	})
	if err != nil || address == "" {
		return
	}
	payload, err := json.Marshal(doc)
	if err != nil {
		return
	}
	v.mesh.Send(from, address, clock.Timestamp{}, vm.AdminResponse{ID: req.ID, Payload: payload})
}

func adminDocument(core *vm.Core, now clock.Millis, req vm.AdminRequest) any {
	if req.Kind == vm.AdminEvents {
		var f timeline.Filter
		if err := json.Unmarshal(req.Payload, &f); err != nil {
			return nil
		}
		return newest(core.Events(f), maxPeerEvents)
	}
	status := core.Status(now)
	status.Members = nil // the requesting VM has its own list, whose size grows with the fleet
	return status
}

func newest(events []timeline.Event, n int) []timeline.Event {
	return events[max(0, len(events)-n):]
}

// sendAdminRequest sends a request to one member and decodes the response.
func sendAdminRequest[T any](ctx context.Context, v *VM, m fleet.VM, kind vm.AdminKind, payload []byte) (T, bool) {
	var doc T
	id, response := v.adminRequests.add()
	defer v.adminRequests.remove(id)
	v.mesh.Send(m.ID, m.Address, clock.Timestamp{}, vm.AdminRequest{ID: id, Kind: kind, Payload: payload})
	select {
	case data := <-response:
		return doc, len(data) > 0 && json.Unmarshal(data, &doc) == nil
	case <-ctx.Done():
		return doc, false
	}
}

// fanOutAdminRequest sends a request to all other members that are not dead, in
// parallel. It returns the members that did not respond in time as unresponsive.
func fanOutAdminRequest[T any](ctx context.Context, v *VM, members []fleet.VM, kind vm.AdminKind, payload []byte) (responses []T, unresponsive []string) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout.Duration())
	defer cancel()
	type result struct {
		member string
		doc    T
		ok     bool
	}
	results := make(chan result, len(members))
	sent := 0
	for _, m := range members {
		if m.ID == v.self.ID || m.State == fleet.Dead {
			continue
		}
		sent++
		go func() {
			doc, ok := sendAdminRequest[T](ctx, v, m, kind, payload)
			results <- result{m.ID, doc, ok}
		}()
	}
	for range sent {
		r := <-results
		if !r.ok {
			unresponsive = append(unresponsive, r.member)
			continue
		}
		responses = append(responses, r.doc)
	}
	return responses, unresponsive
}
