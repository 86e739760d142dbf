package experiment

import "lentillink.example/lentillink/order"

// finalClaims returns the claims in the store at the end of a run, read the
// way a new owner reads them.
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

// lossCause says why an order was never run and its id is blocked.
type lossCause string

const (
	lossBeforeSend lossCause = "holder killed before the send"
	lossAfterSend  lossCause = "holder killed after the send"
	lossAttempt    lossCause = "attempt or its reply lost, holder alive"
	// A lost attempt of a later or earlier submission, and callers that gave up.
	lossReleased lossCause = "attempt lost, claim released, caller gave up"
)

var lossCauses = []lossCause{lossBeforeSend, lossAfterSend, lossAttempt, lossReleased}

// losses returns the cause for each id whose blocked state is explained. Nobody
// else may release the claim of a killed holder, because the holder may have sent.
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
