package peer

import (
	"errors"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
)

func encodeHandOver(h relay.Delegation) *peerpb.HandOver {
	return &peerpb.HandOver{
		Id: h.ID, Version: h.Version, Name: h.Name, Host: h.Host, Path: h.Path, Head: h.Head, Body: h.Body,
		LeftMs: int64(h.RemainingMs), AnswerInMs: int64(h.TargetInMs), Returning: h.CallerRetry,
		Services: h.Services,
	}
}

func decodeHandOver(h *peerpb.HandOver) relay.Delegation {
	return relay.Delegation{
		ID: h.GetId(), Version: h.GetVersion(), Name: h.GetName(), Host: h.GetHost(), Path: h.GetPath(),
		Head: h.GetHead(), Body: h.GetBody(),
		RemainingMs: clock.Millis(h.GetLeftMs()), TargetInMs: clock.Millis(h.GetAnswerInMs()), CallerRetry: h.GetReturning(),
		Services: h.GetServices(),
	}
}

func encodeHandBack(h relay.DelegationResult) *peerpb.HandBack {
	a := h.Answer
	return &peerpb.HandBack{
		Id: h.ID, Outcome: uint32(a.Outcome), Body: a.Body, Receipts: a.Receipts, Missing: uint32(a.Missing),
		Reason: a.Reason, RetryAfterMs: int64(a.RetryAfterMs), Version: a.Version, More: h.Partial, ExpectedMs: int64(h.ExpectedMs),
	}
}

func decodeHandBack(h *peerpb.HandBack) (relay.DelegationResult, error) {
	outcome := relay.Outcome(h.GetOutcome())
	if h.GetOutcome() > uint32(relay.NotReady) || outcome == relay.Relayed {
		return relay.DelegationResult{}, wrap("decode", KindDecode, errors.New("outcome of a gathered answer is unknown"))
	}
	return relay.DelegationResult{ID: h.GetId(), Partial: h.GetMore(), ExpectedMs: clock.Millis(h.GetExpectedMs()), Answer: relay.Answer{
		Outcome: outcome, Body: h.GetBody(), Receipts: h.GetReceipts(), Missing: int(h.GetMissing()),
		Reason: h.GetReason(), RetryAfterMs: clock.Millis(h.GetRetryAfterMs()), Version: h.GetVersion(),
	}}, nil
}
