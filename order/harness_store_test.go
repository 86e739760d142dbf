package order_test

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
)

func (h *harness) storeStep(vm *testVM, req store.Request) string {
	if req.Op != store.OpSwap {
		return stepRead
	}
	listsSegment := h.lastWriteSealed[vm]
	h.lastWriteSealed[vm] = req.Key != order.HeadKey(0)
	switch {
	case h.lastWriteSealed[vm]:
		return stepSeal
	case listsSegment:
		return stepWriteListing
	}
	return stepWrite
}

func (h *harness) callStore(name string, vm *testVM, req store.Request) {
	fault := h.nextFault(h.storeStep(vm, req))
	issuedAt := h.now
	if req.Op != store.OpGet {
		h.writes = append(h.writes, h.now)
	}
	reply := store.Reply{Requester: req.Requester, Tag: req.Tag, Op: req.Op}
	deliverReply := func(after clock.Millis) {
		h.schedule(after, func() { h.deliverTo(name, vm, order.StoreMsg{Reply: reply}) })
	}
	switch fault {
	case faultUnavailable:
		reply.Kind = store.KindUnavailable
		deliverReply(2)
	case faultUnknownNotApplied, faultLost, faultShedWithoutProof, faultContradictoryReply, faultReplyPastDeadline:
		reply.Kind = store.KindUnknown
		deliverReply(200)
	case faultUnknownApplied, faultUnknownAppliedLate, faultKillOwnerLateWrite:
		after := map[string]clock.Millis{faultUnknownApplied: 1, faultUnknownAppliedLate: 400, faultKillOwnerLateWrite: lateWriteMs}[fault]
		h.schedule(after, func() { h.apply(issuedAt, req, &store.Reply{}) })
		reply.Kind = store.KindUnknown
		h.applyFault(fault)
		deliverReply(200)
	case faultConflict:
		h.conflict(req.Key)
		fallthrough
	default:
		copies, after := h.applyFault(fault)
		copies = max(copies, 1)
		for range copies {
			h.schedule(1, func() {
				h.apply(issuedAt, req, &reply)
				deliverReply(after)
			})
		}
	}
}

// conflict writes the record as another owner would, so that a write in progress
// conflicts. It adds one claim to a head.
func (h *harness) conflict(key string) {
	e := h.entries[key]
	head, err := order.DecodeHead(e.Value)
	if key == order.HeadKey(0) && err == nil {
		id := order.HashOf(fmt.Sprintf("foreign %d", len(h.foreignClaims)))
		h.foreignClaims = append(h.foreignClaims, id)
		head.Claims = append(head.Claims, order.Claim{ID: id, Token: order.HashOf("foreign"), State: order.ClaimHeld})
		head.NewestIssued = max(head.NewestIssued, start)
		e.Value = head.Encode()
	}
	h.apply(h.now, store.Request{Op: store.OpSwap, Key: key, Value: e.Value, Revision: e.Revision}, &store.Reply{})
}

// checkWrittenHead fails if a head that took effect contains a claim whose release
// was confirmed after its write was issued. Such a release must make the write conflict.
func (h *harness) checkWrittenHead(issuedAt clock.Millis, value []byte) {
	head, err := order.DecodeHead(value)
	if err != nil {
		h.violations = append(h.violations, err.Error())
	}
	for _, c := range head.Claims {
		if at := h.releasedAt[c.Token]; c.State == order.ClaimHeld && at > issuedAt {
			h.violations = append(h.violations, "a release was confirmed although an older write of its claim took effect later")
		}
	}
}

// claims returns the claims in the store as an owner with an empty cache reads them.
func (h *harness) claims() map[order.Hash]order.ClaimState {
	out := make(map[order.Hash]order.ClaimState)
	head, _ := order.DecodeHead(h.entries[order.HeadKey(0)].Value)
	add := func(record order.Head) {
		for _, c := range record.Claims {
			out[c.ID] = c.State
		}
	}
	for _, s := range head.Segments {
		segment, _ := order.DecodeHead(h.entries[order.SegmentKey(0, s.Number)].Value)
		add(segment)
	}
	add(head)
	return out
}

func (h *harness) apply(issuedAt clock.Millis, req store.Request, reply *store.Reply) {
	e := h.entries[req.Key]
	e.Key = req.Key
	if req.Op != store.OpGet && e.Revision != req.Revision {
		reply.Kind = store.KindConflict
		return
	}
	switch req.Op {
	case store.OpSwap:
		h.revision++
		e = store.Entry{Key: req.Key, Value: req.Value, Revision: h.revision}
		h.entries[req.Key] = e
		if req.Key == order.HeadKey(0) {
			h.checkWrittenHead(issuedAt, req.Value)
		}
	case store.OpDelete:
		delete(h.entries, req.Key)
	}
	reply.Entry = e
}
