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

func encodeClaim(m order.ClaimMsg) *peerpb.Claim {
	return &peerpb.Claim{
		From: m.From, Op: uint32(m.Op), Token: encodeToken(m.Token), Id: m.ID[:],
		IssuedMs: int64(m.Issued), BudgetMs: int64(m.Budget), Wait: m.Wait,
	}
}

func decodeClaim(c *peerpb.Claim) (order.ClaimMsg, error) {
	if len(c.GetId()) != order.HashBytes || c.GetOp() > uint32(order.OpDone) {
		return order.ClaimMsg{}, wrap("decode claim", KindDecode, errors.New("id or op out of range"))
	}
	return order.ClaimMsg{
		From: c.GetFrom(), Op: order.Op(c.GetOp()), Token: decodeToken(c.GetToken()), ID: order.Hash(c.GetId()),
		Issued: clock.Millis(c.GetIssuedMs()), Budget: clock.Millis(c.GetBudgetMs()), Wait: c.GetWait(),
	}, nil
}

func decodeClaimed(c *peerpb.Claimed) (order.ClaimedMsg, error) {
	if c.GetResult() > uint32(order.ReleaseWritten) {
		return order.ClaimedMsg{}, wrap("decode claimed", KindDecode, errors.New("result out of range"))
	}
	return order.ClaimedMsg{Token: decodeToken(c.GetToken()), Result: order.Result(c.GetResult())}, nil
}
