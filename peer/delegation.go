package peer

import (
	"errors"
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

func encodeDelegation(d relay.Delegation) *peerpb.HandOver {
	out := &peerpb.HandOver{
		Id: d.ID, Version: d.Version, Name: []byte(d.Name), Head: d.Head, Body: d.Body,
		LeftMs: int64(d.RemainingMs), AnswerInMs: int64(d.TargetInMs), LateInMs: int64(d.LateInMs), Services: d.Services,
		Route: d.Terms.Route, TargetMs: int64(d.Terms.TargetMs), Priority: uint32(d.Terms.Priority),
		MaxAttempts: uint32(d.Terms.MaxAttempts), TopK: uint32(d.Terms.TopK), MinShardRatio: d.Terms.MinShardRatio,
		Evacuated: d.Limits.Evacuated, Cold: d.Limits.Cold, ColdMs: int64(d.Limits.ColdMs),
	}
	if d.CostKeys != (cost.Keys{}) {
		out.CostKeys = d.CostKeys[:]
	}
	if d.Terms.Customer != "" {
		out.Customer, out.CustomerPriority = d.Terms.Customer, uint32(d.Terms.CustomerPriority)
		// An earlier release refuses a delegation without max_attempts.
		out.MaxAttempts, out.CustomerMaxAttempts = 0, out.MaxAttempts
	}
	return out
}

// maxDelegatedShards bounds the shards of a delegation. Services have a few hundred.
const maxDelegatedShards = 8192

var (
	errOutOfRange = errors.New("a number is out of range")
	errCustomer   = errors.New("the name of the customer is not fit for a header")
)

func decodeDelegation(d *peerpb.HandOver) (relay.Delegation, error) {
	ratio := d.GetMinShardRatio()
	maxAttempts, customerPriority := d.GetMaxAttempts(), uint32(0)
	if d.GetCustomer() != "" {
		maxAttempts, customerPriority = d.GetCustomerMaxAttempts(), d.GetCustomerPriority()
	}
	if !inRange(d.GetLeftMs()) || !inRange(d.GetAnswerInMs()) || !inRange(d.GetTargetMs()) || !inRange(max(d.GetLateInMs(), -d.GetLateInMs())) ||
		!inRange(d.GetColdMs()) || max(len(d.GetServices()), len(d.GetEvacuated()), len(d.GetCold())) > maxDelegatedShards ||
		max(d.GetPriority(), customerPriority, maxAttempts, d.GetTopK()) > route.MaxCount || math.IsNaN(ratio) || ratio < 0 || ratio > 1 {
		return relay.Delegation{}, wrap("decode delegation", KindDecode, errOutOfRange)
	}
	if d.GetCustomer() != "" && !customer.ValidName(d.GetCustomer()) {
		return relay.Delegation{}, wrap("decode delegation", KindDecode, errCustomer)
	}
	var keys cost.Keys
	if len(d.GetCostKeys()) == len(keys) { // other releases may have other features
		keys = cost.Keys(d.GetCostKeys())
	}
	return relay.Delegation{
		CostKeys: keys,
		ID:       d.GetId(), Version: d.GetVersion(), Name: string(d.GetName()), Head: d.GetHead(), Body: d.GetBody(),
		RemainingMs: clock.Millis(d.GetLeftMs()), TargetInMs: clock.Millis(d.GetAnswerInMs()), LateInMs: clock.Millis(d.GetLateInMs()),
		Services: d.GetServices(),
		Terms: relay.Terms{
			Route: d.GetRoute(), TargetMs: clock.Millis(d.GetTargetMs()), Priority: int(d.GetPriority()),
			MaxAttempts: int(maxAttempts), TopK: int(d.GetTopK()), MinShardRatio: ratio,
			Customer: d.GetCustomer(), CustomerPriority: int(customerPriority),
		},
		Limits: relay.Limits{Evacuated: d.GetEvacuated(), Cold: d.GetCold(), ColdMs: clock.Millis(d.GetColdMs())},
	}, nil
}

// inRange reports whether a time in milliseconds is one that a VM sends.
func inRange(ms int64) bool { return ms >= 0 && ms <= int64(route.MaxTimeMs) }

func encodeDelegationResult(r relay.DelegationResult) *peerpb.HandBack {
	a := r.Answer
	return &peerpb.HandBack{
		Id: r.ID, Outcome: uint32(a.Outcome), Body: a.Body, Receipts: encodeReceipts(a.Receipts), Missing: uint32(a.Missing),
		Reason: a.Reason, RetryAfterMs: int64(a.RetryAfterMs), Version: a.Version, More: r.Partial, ExpectedMs: int64(r.ExpectedMs),
		Throttled: encodeThrottled(r.Throttled),
	}
}

// encodeReceipts converts receipts, which are whatever bytes an upstream has sent.
func encodeReceipts(receipts []string) [][]byte {
	if receipts == nil {
		return nil
	}
	out := make([][]byte, len(receipts))
	for i, r := range receipts {
		out[i] = []byte(r)
	}
	return out
}

func decodeReceipts(receipts [][]byte) []string {
	if receipts == nil {
		return nil
	}
	out := make([]string, len(receipts))
	for i, r := range receipts {
		out[i] = string(r)
	}
	return out
}

func decodeDelegationResult(r *peerpb.HandBack) (relay.DelegationResult, error) {
	outcome := relay.Outcome(r.GetOutcome())
	if !inRange(r.GetRetryAfterMs()) || !inRange(r.GetExpectedMs()) || len(r.GetReceipts()) > maxDelegatedShards {
		return relay.DelegationResult{}, wrap("decode delegation result", KindDecode, errOutOfRange)
	}
	if r.GetOutcome() > uint32(relay.NotReady) || outcome == relay.Relayed {
		return relay.DelegationResult{}, wrap("decode", KindDecode, errors.New("outcome of a delegation result is unknown or not allowed"))
	}
	throttled, err := decodeThrottled(r.GetThrottled())
	if err != nil {
		return relay.DelegationResult{}, err
	}
	return relay.DelegationResult{ID: r.GetId(), Partial: r.GetMore(), ExpectedMs: clock.Millis(r.GetExpectedMs()), Throttled: throttled, Answer: relay.Answer{
		Outcome: outcome, Body: r.GetBody(), Receipts: decodeReceipts(r.GetReceipts()), Missing: int(r.GetMissing()),
		Reason: r.GetReason(), RetryAfterMs: clock.Millis(r.GetRetryAfterMs()), Version: r.GetVersion(),
	}}, nil
}
