package order_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
)

// TestOrderIsSentAgainWhenNoCarrierTookIt guards against an order that ends as
// unknown, with its claim kept, although the VMs to which it was forwarded proved
// that they own no connection for it.
func TestOrderIsSentAgainWhenNoCarrierTookIt(t *testing.T) {
	const now = clock.Millis(1_700_000_000_000)
	seq := uint64(0)
	m := order.New(
		order.WithSelf("vm-1", 1),
		order.WithPicker(func(_ clock.Millis, _, _ string, exclude []upstream.ID) (upstream.ID, bool) {
			return upstream.ID(fmt.Sprintf("orders/d00/%d", len(exclude))), true
		}),
		order.WithAttemptID(func() attempt.ID {
			seq++
			return attempt.ID{VM: "vm-1", Incarnation: 1, Seq: seq}
		}),
	)
	var sent []attempt.Request
	var answers []order.Answer
	update := func(msg order.Msg) {
		for queue := []order.Msg{msg}; len(queue) > 0; queue = queue[1:] {
			for _, cmd := range m.Update(now, queue[0]) {
				switch c := cmd.(type) {
				case order.StoreCmd:
					entry := store.Entry{Key: c.Request.Key, Revision: c.Request.Revision}
					if c.Request.Op == store.OpSwap {
						entry.Revision++
					}
					queue = append(queue, order.StoreMsg{Reply: store.Reply{Tag: c.Request.Tag, Op: c.Request.Op, Entry: entry}})
				case order.SendCmd:
					sent = append(sent, c.Request)
				case order.AnswerCmd:
					answers = append(answers, c.Answer)
				}
			}
		}
	}
	update(order.LiveVMsMsg{VMs: []string{"vm-1"}})
	update(order.SubmitMsg{CallID: 1, ID: fmt.Sprintf("%d-a", now), Service: "orders", Group: "d00", Deadline: now + 1000})
	for i := range 2 {
		if len(sent) != i+1 {
			t.Fatalf("got %d attempts, want %d; answers %v", len(sent), i+1, answers)
		}
		update(order.AttemptReplyMsg{Reply: attempt.Reply{ID: sent[i].ID, Upstream: sent[i].Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted}})
	}
	if len(answers) != 1 || answers[0].Outcome != order.OutcomeRefused || answers[0].Execution != attempt.NotExecuted {
		t.Errorf("got %v, want one refusal, not executed", answers)
	}
}
