package peer

import (
	"errors"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
)

func encodeDelegation(d relay.Delegation) *peerpb.HandOver {
	return &peerpb.HandOver{
		Id: d.ID, Version: d.Version, Name: d.Name, Host: d.Host, Path: d.Path, Head: d.Head, Body: d.Body,
		LeftMs: int64(d.RemainingMs), AnswerInMs: int64(d.TargetInMs), Returning: d.CallerRetry,
		Services: d.Services,
	}
}

func decodeDelegation(d *peerpb.HandOver) relay.Delegation {
	return relay.Delegation{
		ID: d.GetId(), Version: d.GetVersion(), Name: d.GetName(), Host: d.GetHost(), Path: d.GetPath(),
		Head: d.GetHead(), Body: d.GetBody(),
		RemainingMs: clock.Millis(d.GetLeftMs()), TargetInMs: clock.Millis(d.GetAnswerInMs()), CallerRetry: d.GetReturning(),
		Services: d.GetServices(),
	}
}

func encodeDelegationResult(r relay.DelegationResult) *peerpb.HandBack {
	a := r.Answer
	return &peerpb.HandBack{
		Id: r.ID, Outcome: uint32(a.Outcome), Body: a.Body, Receipts: a.Receipts, Missing: uint32(a.Missing),
		Reason: a.Reason, RetryAfterMs: int64(a.RetryAfterMs), Version: a.Version, More: r.Partial, ExpectedMs: int64(r.ExpectedMs),
	}
}

func decodeDelegationResult(r *peerpb.HandBack) (relay.DelegationResult, error) {
	outcome := relay.Outcome(r.GetOutcome())
	if r.GetOutcome() > uint32(relay.NotReady) || outcome == relay.Relayed {
		return relay.DelegationResult{}, wrap("decode", KindDecode, errors.New("outcome of a delegation result is unknown or not allowed"))
	}
	return relay.DelegationResult{ID: r.GetId(), Partial: r.GetMore(), ExpectedMs: clock.Millis(r.GetExpectedMs()), Answer: relay.Answer{
		Outcome: outcome, Body: r.GetBody(), Receipts: r.GetReceipts(), Missing: int(r.GetMissing()),
		Reason: r.GetReason(), RetryAfterMs: clock.Millis(r.GetRetryAfterMs()), Version: r.GetVersion(),
	}}, nil
}
