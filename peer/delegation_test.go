package peer_test

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// TestDelegationCodecRoundTrip guards against a field of a delegation or an
// update that the encoding loses.
func TestDelegationCodecRoundTrip(t *testing.T) {
	bodies := []vm.PeerBody{
		relay.Delegation{
			ID: 1, Version: 2, Name: "r", Services: []string{"a", "b"}, Head: []byte("GET"), Body: []byte("x"),
			RemainingMs: 3, TargetInMs: 4, LateInMs: -6,
			Terms:  relay.Terms{Route: "q", TargetMs: 5, Priority: 1, MaxAttempts: 2, TopK: 10, MinShardRatio: 0.75},
			Limits: relay.Limits{Evacuated: []string{"a"}, Cold: []string{"i-1", "i-2"}, ColdMs: 700}, CostKeys: cost.Keys{1, 2, 3, 4, 5, 1 << 63},
		},
		relay.Delegation{ID: 1, Services: []string{"a"}, Terms: relay.Terms{MaxAttempts: 3, Customer: "nyla", CustomerPriority: 4}},
		relay.DelegationAck{ID: 5},
		relay.DelegationResult{ID: 6, Partial: true, ExpectedMs: 9, Answer: relay.Answer{
			Outcome: relay.Gathered, Body: []byte("records"), Receipts: []string{"x", "y"}, Missing: 1, Version: 2,
		}},
		relay.DelegationResult{ID: 6, Answer: relay.Answer{Outcome: relay.Refused, Reason: "full", RetryAfterMs: 7}},
		relay.DelegationResult{ID: 6, Answer: relay.Answer{Outcome: relay.Refused}, Throttled: []relay.Throttled{{Customer: "nyla", CustomerPriority: 1, Priority: 2, Admitted: 0.5}}},
		relay.DelegationCancel{ID: 8},
		catalog.Subscribe{After: 10, Compressed: true},
		catalog.Update{From: 11, To: 12, StoreLost: true, Items: []store.Item{
			{Key: "k", Value: []byte("v"), Revision: 12}, {Key: "gone", Revision: 11, Removed: true},
		}},
	}
	for _, want := range bodies {
		got, _, err := peer.Decode(0, peer.Encode(0, clock.Timestamp{}, want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

// TestForeignCostKeys guards against keys of a release with other features, which would be
// taken for those of this one.
func TestForeignCostKeys(t *testing.T) {
	for _, n := range []int{0, 1, 5, 7, 100_000} {
		env := &peerpb.Envelope{Body: &peerpb.Envelope_HandOver{HandOver: &peerpb.HandOver{Id: 1, CostKeys: make([]uint64, n)}}}
		for i := range env.GetHandOver().GetCostKeys() {
			env.GetHandOver().CostKeys[i] = 7
		}
		got, _, err := peer.Decode(0, env)
		if d, ok := got.(relay.Delegation); err != nil || !ok || d.CostKeys != (cost.Keys{}) {
			t.Errorf("%d keys: got %+v, %v, want a delegation without keys", n, got, err)
		}
	}
}

// TestDelegationResultRejectsOutcome guards against a delegation result whose
// outcome is unknown or not allowed, and which would reach the caller as an answer.
func TestDelegationResultRejectsOutcome(t *testing.T) {
	for _, outcome := range []uint32{uint32(relay.Relayed), uint32(relay.Unauthorized), uint32(relay.OverLimit), 99} {
		env := &peerpb.Envelope{Body: &peerpb.Envelope_HandBack{HandBack: &peerpb.HandBack{Id: 1, Outcome: outcome}}}
		if _, _, err := peer.Decode(0, env); err == nil {
			t.Errorf("outcome %d: got no error, want one", outcome)
		}
	}
}

// TestDecodeRejectsOddNumbers guards against a number of another VM that overflows a
// deadline, or after which all true changes look old.
func TestDecodeRejectsOddNumbers(t *testing.T) {
	const huge = 1<<63 - 1
	for _, body := range []vm.PeerBody{
		relay.Delegation{ID: 1, RemainingMs: huge},
		relay.Delegation{ID: 1, RemainingMs: -1},
		relay.Delegation{ID: 1, TargetInMs: huge},
		relay.Delegation{ID: 1, Services: make([]string, 10_000)},
		relay.Delegation{ID: 1, Limits: relay.Limits{Evacuated: make([]string, 10_000)}},
		relay.Delegation{ID: 1, Limits: relay.Limits{Cold: make([]string, 10_000)}},
		relay.Delegation{ID: 1, Limits: relay.Limits{ColdMs: -1}},
		relay.Delegation{ID: 1, LateInMs: huge},
		relay.Delegation{ID: 1, LateInMs: -huge - 1},
		relay.Delegation{ID: 1, Terms: relay.Terms{TargetMs: -1}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Priority: -1}},
		relay.Delegation{ID: 1, Terms: relay.Terms{MaxAttempts: 1 << 31}},
		relay.Delegation{ID: 1, Terms: relay.Terms{TopK: -1}},
		relay.Delegation{ID: 1, Terms: relay.Terms{MinShardRatio: math.NaN()}},
		relay.Delegation{ID: 1, Terms: relay.Terms{MinShardRatio: 1.1}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Customer: "nyla", CustomerPriority: -1}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Customer: "nyla", MaxAttempts: 1 << 31}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Customer: "nyla\r\nX-Injected: 1"}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Customer: " "}},
		relay.Delegation{ID: 1, Terms: relay.Terms{Customer: strings.Repeat("n", 1000)}},
		relay.DelegationResult{ID: 1, ExpectedMs: huge},
		relay.DelegationResult{ID: 1, Answer: relay.Answer{Outcome: relay.Refused, RetryAfterMs: huge}},
		relay.DelegationResult{ID: 1, Answer: relay.Answer{Outcome: relay.Refused, RetryAfterMs: -huge}},
		relay.DelegationResult{ID: 1, Throttled: []relay.Throttled{{Customer: "nyla", Admitted: math.NaN()}}},
		relay.DelegationResult{ID: 1, Throttled: []relay.Throttled{{Customer: "nyla", Admitted: -0.1}}},
		relay.DelegationResult{ID: 1, Throttled: []relay.Throttled{{Customer: "nyla", Priority: -1}}},
		relay.DelegationResult{ID: 1, Throttled: []relay.Throttled{{Customer: "a\r\nb"}}},
		catalog.Update{To: 1 << 63},
		catalog.Update{To: 5, Items: []store.Item{{Key: "k", Revision: 1 << 63}}},
		catalog.Update{To: 5, Items: []store.Item{{Revision: 5}}},
	} {
		if got, _, err := peer.Decode(0, peer.Encode(0, clock.Timestamp{}, body)); err == nil {
			t.Errorf("got %+v, want an error", got)
		}
	}
}

// TestDelegationAcrossReleases guards against a carrier of a release without customers that
// sends shards without naming the customer, and against a delegation of such a release that
// is not understood.
func TestDelegationAcrossReleases(t *testing.T) {
	for _, tt := range []struct {
		customer string
		want     uint32 // max_attempts; an earlier release refuses 0
	}{{"nyla", 0}, {"", 2}} {
		d := relay.Delegation{ID: 1, Services: []string{"a"}, Terms: relay.Terms{Route: "q", MaxAttempts: 2, Customer: tt.customer}}
		if got := peer.Encode(0, clock.Timestamp{}, d).GetHandOver().GetMaxAttempts(); got != tt.want {
			t.Errorf("customer %q: got max_attempts %d, want %d", tt.customer, got, tt.want)
		}
	}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_HandOver{HandOver: &peerpb.HandOver{Id: 1, Services: []string{"a"}, MaxAttempts: 2, Priority: 1, CustomerPriority: 5}}}
	got, _, err := peer.Decode(0, env)
	if d, ok := got.(relay.Delegation); err != nil || !ok || d.Terms.MaxAttempts != 2 || d.Terms.Customer != "" || d.Terms.CustomerPriority != 0 {
		t.Errorf("got %+v, %v, want a delegation without a customer", got, err)
	}
}
