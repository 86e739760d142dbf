package peer

import (
	"errors"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/peer/peerpb"
)

func encodeToken(t order.Token) *peerpb.Token {
	return &peerpb.Token{Vm: t.VM, Incarnation: t.Incarnation, Seq: t.Seq}
}

func decodeToken(t *peerpb.Token) order.Token {
	return order.Token{VM: t.GetVm(), Incarnation: t.GetIncarnation(), Seq: t.GetSeq()}
}

func encodeClaimRequest(m order.ClaimRequestMsg) *peerpb.Claim {
	return &peerpb.Claim{
		From: m.From, Op: uint32(m.Op), Token: encodeToken(m.Token), Id: m.ID[:],
		IssuedMs: int64(m.IssuedAt), BudgetMs: int64(m.Timeout), Wait: m.WaitForStore,
	}
}

func decodeClaimRequest(c *peerpb.Claim) (order.ClaimRequestMsg, error) {
	if len(c.GetId()) != order.HashSize || c.GetOp() > uint32(order.OpMarkDone) {
		return order.ClaimRequestMsg{}, wrap("decode claim", KindDecode, errors.New("ID of the order has the wrong length, or the operation is unknown"))
	}
	return order.ClaimRequestMsg{
		From: c.GetFrom(), Op: order.Op(c.GetOp()), Token: decodeToken(c.GetToken()), ID: order.Hash(c.GetId()),
		IssuedAt: clock.Millis(c.GetIssuedMs()), Timeout: clock.Millis(c.GetBudgetMs()), WaitForStore: c.GetWait(),
	}, nil
}

func decodeClaimResponse(c *peerpb.Claimed) (order.ClaimResponseMsg, error) {
	if c.GetResult() > uint32(order.ResultReleased) {
		return order.ClaimResponseMsg{}, wrap("decode claimed", KindDecode, errors.New("unknown result of a claim"))
	}
	return order.ClaimResponseMsg{Token: decodeToken(c.GetToken()), Result: order.ClaimResult(c.GetResult())}, nil
}
