package peer_test

import (
	"math"
	"reflect"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/vm"
)

// TestCredit guards against credit that changes on its way between VMs.
func TestCredit(t *testing.T) {
	limit := quota.Limit{Customer: "cemetery", Rate: 0.4, Burst: 1, Version: 7}
	for _, want := range []vm.PeerBody{
		quota.Ask{ID: 3, Forwarded: true, Entries: []quota.AskEntry{{Limit: limit, Want: 2, Ahead: 1, Returned: 4}}},
		quota.Grant{ID: 3, Entries: []quota.GrantEntry{{Customer: "cemetery", Source: quota.SourceReserve, Credits: 2, ValidMs: 900, EmptyMs: 10, RetryAfterMs: 2500}}},
	} {
		got, _, err := peer.Decode(0, peer.Encode(0, clock.Timestamp{}, want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

// TestCreditRejects guards against numbers that no VM sends.
func TestCreditRejects(t *testing.T) {
	good := peerpb.CreditWant{Customer: "c", Rate: 1, Burst: 1}
	asks := map[string]*peerpb.CreditAsk{"too many": {Wants: make([]*peerpb.CreditWant, quota.MaxEntries+1)}}
	for name, change := range map[string]func(*peerpb.CreditWant){
		"no customer":    func(w *peerpb.CreditWant) { w.Customer = "" },
		"rate NaN":       func(w *peerpb.CreditWant) { w.Rate = math.NaN() },
		"rate negative":  func(w *peerpb.CreditWant) { w.Rate = -1 },
		"rate infinite":  func(w *peerpb.CreditWant) { w.Rate = math.Inf(1) },
		"burst NaN":      func(w *peerpb.CreditWant) { w.Burst = math.NaN() },
		"want too large": func(w *peerpb.CreditWant) { w.Want = math.MaxUint32 },
		"returned":       func(w *peerpb.CreditWant) { w.Returned = math.MaxUint32 },
	} {
		w := &peerpb.CreditWant{Customer: good.Customer, Rate: good.Rate, Burst: good.Burst}
		change(w)
		asks[name] = &peerpb.CreditAsk{Wants: []*peerpb.CreditWant{w}}
	}
	for name, a := range asks {
		if got, _, err := peer.Decode(0, &peerpb.Envelope{Body: &peerpb.Envelope_CreditAsk{CreditAsk: a}}); err == nil {
			t.Errorf("ask, %s: got %+v, want an error", name, got)
		}
	}
	for name, c := range map[string]*peerpb.Credit{
		"source": {Source: 9}, "credits": {Credits: math.MaxUint32}, "valid": {ValidMs: -1}, "empty": {EmptyMs: math.MaxInt64}, "retry": {RetryAfterMs: -1},
	} {
		if got, _, err := peer.Decode(0, &peerpb.Envelope{Body: &peerpb.Envelope_CreditGrant{CreditGrant: &peerpb.CreditGrant{Credits: []*peerpb.Credit{c}}}}); err == nil {
			t.Errorf("grant, %s: got %+v, want an error", name, got)
		}
	}
}
