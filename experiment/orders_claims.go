package experiment

import "lentillink.example/lentillink/order"

// finalClaims returns the claims in the store at the end of a run, read the
// way a new owner reads them.
func (r *ordersRun) finalClaims() map[order.Hash]order.Claim {
	claims := make(map[order.Hash]order.Claim)
	for n := range order.Partitions {
		head := r.decode(order.HeadKey(n))
		for _, ref := range head.Segments {
			addClaims(claims, r.decode(order.SegmentKey(n, ref.Number)))
		}
		addClaims(claims, head)
	}
	return claims
}

func (r *ordersRun) decode(key string) order.Head {
	head, err := order.DecodeHead(r.store.entries[key].Value)
	if err != nil {
		panic(err)
	}
	return head
}

func addClaims(claims map[order.Hash]order.Claim, head order.Head) {
	for _, c := range head.Claims {
		claims[c.ID] = c
		if c.State == order.StateReleased {
			delete(claims, c.ID)
		}
	}
}

// claimsOfDead returns the ids whose claim is held by a killed VM. Nobody else
// may release such a claim, because its holder may have sent the order.
func (r *ordersRun) claimsOfDead() map[order.Hash]bool {
	tokens := make(map[order.Hash]bool)
	for _, vm := range r.dead {
		for seq := range vm.submits {
			tokens[order.Token{VM: vm.name, Incarnation: vm.incarnation, Seq: seq + 1}.Hash()] = true
		}
	}
	stuck := make(map[order.Hash]bool)
	for id, c := range r.finalClaims() {
		stuck[id] = tokens[c.Token]
	}
	return stuck
}
