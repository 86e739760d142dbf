package experiment

import "lentillink.example/lentillink/order"

// finalClaims returns the claims in the store at the end of a run, read in the
// way in which a new partition owner reads them.
func (r *ordersRun) finalClaims() map[order.Hash]order.Claim {
	claims := make(map[order.Hash]order.Claim)
	for n := range order.NumPartitions {
		head := r.loadClaims(order.HeadKey(n))
		for _, ref := range head.Segments {
			addClaims(claims, r.loadClaims(order.SegmentKey(n, ref.Number)))
		}
		addClaims(claims, head)
	}
	return claims
}

func (r *ordersRun) loadClaims(key string) order.Head {
	head, err := order.DecodeHead(r.store.entries[key].Value)
	if err != nil {
		panic(err)
	}
	return head
}

func addClaims(claims map[order.Hash]order.Claim, head order.Head) {
	for _, c := range head.Claims {
		claims[c.ID] = c
		if c.State == order.ClaimReleased {
			delete(claims, c.ID)
		}
	}
}

// lossCause is the reason why an order was never executed and its id is blocked.
type lossCause string

const (
	lossBeforeSend lossCause = "holder killed before the send"
	lossAfterSend  lossCause = "holder killed after the send"
	lossAttempt    lossCause = "attempt or its reply lost, holder alive"
	// An attempt of another submission was lost, and the caller reached its limit of repeats.
	lossReleased lossCause = "attempt lost, claim released, caller gave up"
)

var lossCauses = []lossCause{lossBeforeSend, lossAfterSend, lossAttempt, lossReleased}

// losses returns the cause for each id whose loss can be explained. The
// claim of a killed holder is never released, because the holder may have sent an attempt.
func (r *ordersRun) losses() map[order.Hash]lossCause {
	dead := make(map[order.Hash]bool)
	for _, vm := range r.deadVMs {
		for seq := range vm.submissions {
			dead[order.Token{VM: vm.name, Incarnation: vm.incarnation, Seq: seq + 1}.Hash()] = true
		}
	}
	causes := make(map[order.Hash]lossCause)
	for id := range r.checker.lostAttempts {
		causes[order.HashOf(id)] = lossReleased
	}
	for id, c := range r.finalClaims() {
		switch {
		case dead[c.Token] && !r.checker.sentTokens[c.Token]:
			causes[id] = lossBeforeSend
		case dead[c.Token]:
			causes[id] = lossAfterSend
		case causes[id] != "":
			causes[id] = lossAttempt
		}
	}
	return causes
}
