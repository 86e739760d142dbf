package order_test

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
)

func (r *rig) storeStep(vm *rigVM, req store.Request) string {
	if req.Op != store.OpSwap {
		return stepRead
	}
	listing := r.sealed[vm]
	r.sealed[vm] = req.Key != order.HeadKey(0)
	switch {
	case r.sealed[vm]:
		return stepSeal
	case listing:
		return stepList
	}
	return stepWrite
}

func (r *rig) callStore(name string, vm *rigVM, req store.Request) {
	fault := r.fault(r.storeStep(vm, req))
	issued := r.now
	if req.Op != store.OpGet {
		r.writes = append(r.writes, r.now)
	}
	reply := store.Reply{Owner: req.Owner, Tag: req.Tag, Op: req.Op}
	done := func(after clock.Millis) {
		r.at(after, func() { r.deliverTo(name, vm, order.StoreMsg{Reply: reply}) })
	}
	switch fault {
	case faultUnavailable:
		reply.Kind = store.KindUnavailable
		done(2)
	case faultUnknownNot, faultLost, faultNoStatus, faultNoProof, faultPastEnd:
		reply.Kind = store.KindUnknown
		done(200)
	case faultUnknownDone, faultUnknownLate, faultKillWriting:
		after := map[string]clock.Millis{faultUnknownDone: 1, faultUnknownLate: 400, faultKillWriting: writeLateMs}[fault]
		r.at(after, func() { r.apply(issued, req, &store.Reply{}) })
		reply.Kind = store.KindUnknown
		r.hit(fault)
		done(200)
	case faultConflict:
		r.conflict(req.Key)
		fallthrough
	default:
		copies, after := r.hit(fault)
		copies = max(copies, 1)
		for range copies {
			r.at(1, func() {
				r.apply(issued, req, &reply)
				done(after)
			})
		}
	}
}

// conflict writes the record first, as another owner does. A head gets one more claim.
func (r *rig) conflict(key string) {
	e := r.entries[key]
	head, err := order.DecodeHead(e.Value)
	if key == order.HeadKey(0) && err == nil {
		id := order.HashOf(fmt.Sprintf("foreign %d", len(r.foreign)))
		r.foreign = append(r.foreign, id)
		head.Claims = append(head.Claims, order.Claim{ID: id, Token: order.HashOf("foreign"), State: order.ClaimHeld})
		head.NewestIssued = max(head.NewestIssued, start)
		e.Value = head.Encode()
	}
	r.apply(r.now, store.Request{Op: store.OpSwap, Key: key, Value: e.Value, Expect: e.Revision}, &store.Reply{})
}

// wrote checks a head that took effect against the releases confirmed before
// its write was issued or while it was on its way.
func (r *rig) wrote(issued clock.Millis, value []byte) {
	head, err := order.DecodeHead(value)
	if err != nil {
		r.broken = append(r.broken, err.Error())
	}
	for _, c := range head.Claims {
		if at := r.freed[c.Token]; c.State == order.ClaimHeld && at > issued {
			r.broken = append(r.broken, "a release was confirmed before an older write of its claim")
		}
	}
}

// claims returns the claims in the store as a new owner reads them.
func (r *rig) claims() map[order.Hash]order.ClaimState {
	out := make(map[order.Hash]order.ClaimState)
	head, _ := order.DecodeHead(r.entries[order.HeadKey(0)].Value)
	add := func(h order.Head) {
		for _, c := range h.Claims {
			out[c.ID] = c.State
		}
	}
	for _, s := range head.Segments {
		segment, _ := order.DecodeHead(r.entries[order.SegmentKey(0, s.Number)].Value)
		add(segment)
	}
	add(head)
	return out
}

func (r *rig) apply(issued clock.Millis, req store.Request, reply *store.Reply) {
	e := r.entries[req.Key]
	e.Key = req.Key
	if req.Op != store.OpGet && e.Revision != req.Expect {
		reply.Kind = store.KindConflict
		return
	}
	switch req.Op {
	case store.OpSwap:
		r.revision++
		e = store.Entry{Key: req.Key, Value: req.Value, Revision: r.revision}
		r.entries[req.Key] = e
		if req.Key == order.HeadKey(0) {
			r.wrote(issued, req.Value)
		}
	case store.OpDelete:
		delete(r.entries, req.Key)
	}
	reply.Entry = e
}
