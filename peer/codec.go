package peer

import (
	"errors"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/vm"
)

// Encode converts a message to its wire form. A deadline is sent as the remaining
// time at now.
func Encode(now clock.Millis, stamp clock.Timestamp, body vm.PeerBody) *peerpb.Envelope {
	env := &peerpb.Envelope{WallMs: int64(stamp.WallMs), Logical: stamp.Logical}
	switch b := body.(type) {
	case vm.Forward:
		env.Body = &peerpb.Envelope_Forward{Forward: encodeRequest(now, b.Request)}
	case vm.Result:
		env.Body = &peerpb.Envelope_Result{Result: encodeReply(b.Reply)}
	case vm.CancelForward:
		env.Body = &peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{Id: encodeID(b.ID), Upstream: b.Upstream}}
	case vm.FleetMessage:
		env.Body = &peerpb.Envelope_Fleet{Fleet: b.Payload}
	case vm.ClaimRequest:
		env.Body = &peerpb.Envelope_Claim{Claim: encodeClaimRequest(b.Msg)}
	case vm.ClaimResponse:
		env.Body = &peerpb.Envelope_Claimed{Claimed: &peerpb.Claimed{
			Token: encodeToken(b.Msg.Token), Result: uint32(b.Msg.Result),
		}}
	case vm.AdminRequest:
		env.Body = &peerpb.Envelope_Ask{Ask: &peerpb.Ask{Id: b.ID, Kind: uint32(b.Kind), Payload: b.Payload}}
	case relay.Delegation:
		env.Body = &peerpb.Envelope_HandOver{HandOver: encodeDelegation(b)}
	case relay.DelegationAck:
		env.Body = &peerpb.Envelope_Taken{Taken: &peerpb.Taken{Id: b.ID}}
	case relay.DelegationResult:
		env.Body = &peerpb.Envelope_HandBack{HandBack: encodeDelegationResult(b)}
	case relay.DelegationCancel:
		env.Body = &peerpb.Envelope_Withdraw{Withdraw: &peerpb.Withdraw{Id: b.ID}}
	case catalog.Subscribe:
		env.Body = &peerpb.Envelope_Subscribe{Subscribe: &peerpb.Subscribe{Era: b.Era, After: b.After, Compressed: b.Compressed}}
	case catalog.Update:
		env.Body = &peerpb.Envelope_Update{Update: encodeUpdate(b)}
	case compressedUpdate:
		env.Body = &peerpb.Envelope_Update{Update: b.update}
	case quota.Ask:
		env.Body = &peerpb.Envelope_CreditAsk{CreditAsk: encodeAsk(b)}
	case quota.Grant:
		env.Body = &peerpb.Envelope_CreditGrant{CreditGrant: encodeGrant(b)}
	case vm.AdminResponse:
		env.Body = &peerpb.Envelope_Told{Told: &peerpb.Told{Id: b.ID, Payload: b.Payload}}
	}
	return env
}

// Decode converts a message from its wire form. Remaining time becomes a deadline on
// the local clock.
func Decode(now clock.Millis, env *peerpb.Envelope) (vm.PeerBody, clock.Timestamp, error) {
	stamp := clock.Timestamp{WallMs: clock.Millis(env.GetWallMs()), Logical: env.GetLogical()}
	switch b := env.GetBody().(type) {
	case *peerpb.Envelope_Forward:
		req, err := decodeRequest(now, b.Forward)
		return vm.Forward{Request: req}, stamp, err
	case *peerpb.Envelope_Result:
		reply, err := decodeReply(b.Result)
		return vm.Result{Reply: reply}, stamp, err
	case *peerpb.Envelope_Cancel:
		return vm.CancelForward{ID: decodeID(b.Cancel.GetId()), Upstream: b.Cancel.GetUpstream()}, stamp, nil
	case *peerpb.Envelope_Fleet:
		return vm.FleetMessage{Payload: b.Fleet}, stamp, nil
	case *peerpb.Envelope_Claim:
		msg, err := decodeClaimRequest(b.Claim)
		return vm.ClaimRequest{Msg: msg}, stamp, err
	case *peerpb.Envelope_Claimed:
		msg, err := decodeClaimResponse(b.Claimed)
		return vm.ClaimResponse{Msg: msg}, stamp, err
	case *peerpb.Envelope_Ask:
		return vm.AdminRequest{ID: b.Ask.GetId(), Kind: vm.AdminKind(b.Ask.GetKind()), Payload: b.Ask.GetPayload()}, stamp, nil
	case *peerpb.Envelope_HandOver:
		d, err := decodeDelegation(b.HandOver)
		return d, stamp, err
	case *peerpb.Envelope_Taken:
		return relay.DelegationAck{ID: b.Taken.GetId()}, stamp, nil
	case *peerpb.Envelope_HandBack:
		result, err := decodeDelegationResult(b.HandBack)
		return result, stamp, err
	case *peerpb.Envelope_Withdraw:
		return relay.DelegationCancel{ID: b.Withdraw.GetId()}, stamp, nil
	case *peerpb.Envelope_Subscribe:
		if b.Subscribe.GetEra() > maxRevision {
			return nil, stamp, wrap("decode subscription", KindDecode, errOutOfRange)
		}
		return catalog.Subscribe{Era: b.Subscribe.GetEra(), After: b.Subscribe.GetAfter(), Compressed: b.Subscribe.GetCompressed()}, stamp, nil
	case *peerpb.Envelope_Update:
		u, err := decodeUpdate(b.Update)
		return u, stamp, err
	case *peerpb.Envelope_CreditAsk:
		ask, err := decodeAsk(b.CreditAsk)
		return ask, stamp, err
	case *peerpb.Envelope_CreditGrant:
		grant, err := decodeGrant(b.CreditGrant)
		return grant, stamp, err
	case *peerpb.Envelope_Told:
		return vm.AdminResponse{ID: b.Told.GetId(), Payload: b.Told.GetPayload()}, stamp, nil
	}
	return nil, stamp, wrap("decode", KindDecode, errors.New("envelope has no body, or one of an unknown type"))
}

func encodeID(id attempt.ID) *peerpb.AttemptID {
	return &peerpb.AttemptID{Vm: id.VM, Incarnation: id.Incarnation, Seq: id.Seq}
}

func decodeID(id *peerpb.AttemptID) attempt.ID {
	return attempt.ID{VM: id.GetVm(), Incarnation: id.GetIncarnation(), Seq: id.GetSeq()}
}

func encodeRequest(now clock.Millis, r attempt.Request) *peerpb.Forward {
	return &peerpb.Forward{
		Id: encodeID(r.ID), Upstream: r.Upstream, Kind: uint32(r.Kind), Service: r.Service, Group: r.Group,
		Rank: uint32(r.Rank), Priority: r.Priority, BudgetMs: int64(r.Deadline - now),
		Version: r.Version, Body: r.Body, OrderId: r.OrderID, Customer: r.Customer,
	}
}

func decodeRequest(now clock.Millis, f *peerpb.Forward) (attempt.Request, error) {
	if f.GetRank() >= rank.Count || f.GetKind() > uint32(attempt.Order) {
		return attempt.Request{}, wrap("decode forward", KindDecode, errors.New("unknown rank or kind of request"))
	}
	return attempt.Request{
		ID: decodeID(f.GetId()), Upstream: f.GetUpstream(), Kind: attempt.Kind(f.GetKind()),
		Service: f.GetService(), Group: f.GetGroup(), Rank: rank.Rank(f.GetRank()), Priority: f.GetPriority(),
		Deadline: now + clock.Millis(f.GetBudgetMs()), Version: f.GetVersion(), Body: f.GetBody(), OrderID: f.GetOrderId(),
		Customer: f.GetCustomer(),
	}, nil
}

func encodeReply(r attempt.Reply) *peerpb.Result {
	out := &peerpb.Result{
		Id: encodeID(r.ID), Upstream: r.Upstream, Status: uint32(r.Status), Ran: uint32(r.Execution),
		Version: r.Version, Epoch: r.Epoch, Held: r.HeldVersions, Body: r.Body, Leaving: r.Leaving,
		QueueMs: int64(r.QueueMs), ServiceMs: int64(r.ServiceMs), RetryAfterMs: int64(r.RetryAfter),
	}
	for _, rg := range r.Ranges {
		out.Ranges = append(out.Ranges, &peerpb.Range{From: rg.From, To: rg.To})
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, &peerpb.Row{Key: row.Key, Value: row.Value})
	}
	return out
}

func decodeReply(r *peerpb.Result) (attempt.Reply, error) {
	if r.GetStatus() > uint32(attempt.NotCarrier) || r.GetRan() > uint32(attempt.Executed) {
		return attempt.Reply{}, wrap("decode result", KindDecode, errors.New("unknown status or execution state of a reply"))
	}
	reply := attempt.Reply{
		ID: decodeID(r.GetId()), Upstream: r.GetUpstream(), Status: attempt.Status(r.GetStatus()), Execution: attempt.Execution(r.GetRan()),
		Version: r.GetVersion(), Epoch: r.GetEpoch(), HeldVersions: r.GetHeld(), Body: r.GetBody(), Leaving: r.GetLeaving(),
		QueueMs: clock.Millis(r.GetQueueMs()), ServiceMs: clock.Millis(r.GetServiceMs()), RetryAfter: clock.Millis(r.GetRetryAfterMs()),
	}
	for _, rg := range r.GetRanges() {
		reply.Ranges = append(reply.Ranges, coverage.Range{From: rg.GetFrom(), To: rg.GetTo()})
	}
	for _, row := range r.GetRows() {
		reply.Rows = append(reply.Rows, coverage.Row{Key: row.GetKey(), Value: row.GetValue()})
	}
	return reply, nil
}
