package experiment

import (
	"encoding/binary"
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// orderRule names one invariant whose violations the checker counts.
type orderRule string

const (
	ruleExecutedTwice        orderRule = "run twice"
	ruleFalseNotExecuted     orderRule = "wrong ran: no"
	ruleSentAfterNotExecuted orderRule = "sent after ran: no"
	ruleFalseExecuted        orderRule = "wrong ran: yes"
	ruleRepeatWithoutClaim   orderRule = "already_submitted without a claim"
	ruleSentWithoutClaim     orderRule = "sent without a claim in the store"
	ruleResentWithoutProof   orderRule = "sent again without proof of not run"
	ruleAnswerCount          orderRule = "submission not answered exactly once"
)

var orderRules = []orderRule{
	ruleExecutedTwice, ruleFalseNotExecuted, ruleSentAfterNotExecuted, ruleFalseExecuted, ruleRepeatWithoutClaim, ruleSentWithoutClaim, ruleResentWithoutProof, ruleAnswerCount,
}

// orderChecker observes callers, the store and upstreams, but not the state of
// the machines: it identifies a submission by the body of its attempts.
type orderChecker struct {
	submissions     []*orderSubmission
	runs            map[string]int
	lostAttempts    map[string]bool // ids with a lost attempt or a lost reply
	claimedAt       map[order.Hash]clock.Millis
	durableTokens   map[order.Hash]bool
	sentTokens      map[order.Hash]bool // tokens under which an attempt was sent
	violations      map[orderRule]int
	firstSendDelays []clock.Millis // from submission to the first attempt
}

// orderSubmission is one delivery of an order to one VM.
type orderSubmission struct {
	caller      int
	id          string
	vm          *orderVM
	submittedAt clock.Millis
	sends       int
	runs        int
	answers     int
	answer      order.Answer
	answeredAt  clock.Millis
}

func newOrderChecker() *orderChecker {
	return &orderChecker{
		runs: make(map[string]int), lostAttempts: make(map[string]bool),
		claimedAt: make(map[order.Hash]clock.Millis), durableTokens: make(map[order.Hash]bool),
		sentTokens: make(map[order.Hash]bool),
		violations: make(map[orderRule]int),
	}
}

func orderBody(callID uint64) []byte { return binary.BigEndian.AppendUint64(nil, callID) }

func (c *orderChecker) submissionOf(b []byte) *orderSubmission {
	return c.submissions[binary.BigEndian.Uint64(b)]
}

func (c *orderChecker) recordLostAttempt(id string) { c.lostAttempts[id] = true }

// recordWrite records the claims that a write of a head made durable.
func (c *orderChecker) recordWrite(now clock.Millis, key string, value []byte) {
	if !strings.HasSuffix(key, "/head") {
		return
	}
	head, err := order.DecodeHead(value)
	if err != nil {
		panic(err)
	}
	for _, claim := range head.Claims {
		if c.durableTokens[claim.Token] {
			continue
		}
		c.durableTokens[claim.Token] = true
		if _, ok := c.claimedAt[claim.ID]; !ok {
			c.claimedAt[claim.ID] = now
		}
	}
}

func (c *orderChecker) recordSend(now clock.Millis, cmd order.SendCmd) {
	s := c.submissionOf(cmd.Request.Body)
	if s.sends == 0 {
		c.firstSendDelays = append(c.firstSendDelays, now-s.submittedAt)
	}
	s.sends++
	token := cmd.Token.Hash()
	c.sentTokens[token] = true
	if !c.durableTokens[token] {
		c.violations[ruleSentWithoutClaim]++
	}
	if s.runs > 0 {
		c.violations[ruleResentWithoutProof]++
	}
	if s.answers > 0 && s.answer.Execution == attempt.NotExecuted {
		c.violations[ruleSentAfterNotExecuted]++
	}
}

func (c *orderChecker) recordRun(req attempt.Request) {
	c.submissionOf(req.Body).runs++
	c.runs[req.OrderID]++
}

func (c *orderChecker) recordAnswer(now clock.Millis, a order.Answer) *orderSubmission {
	s := c.submissions[a.CallID]
	s.answers++
	s.answer, s.answeredAt = a, now
	return s
}

// finish checks every answer against the executions seen until the end of the run.
func (c *orderChecker) finish() {
	for _, runs := range c.runs {
		if runs > 1 {
			c.violations[ruleExecutedTwice]++
		}
	}
	for _, s := range c.submissions {
		if s.answers > 1 || s.answers == 0 && !s.vm.dead {
			c.violations[ruleAnswerCount]++
		}
		if s.answers > 0 {
			c.checkAnswer(s)
		}
	}
}

func (c *orderChecker) checkAnswer(s *orderSubmission) {
	switch s.answer.Execution {
	case attempt.NotExecuted:
		if s.runs > 0 {
			c.violations[ruleFalseNotExecuted]++
		}
	case attempt.Executed:
		if c.runs[s.id] == 0 || s.answer.Outcome == order.OutcomeDone && s.runs == 0 {
			c.violations[ruleFalseExecuted]++
		}
	}
	if s.answer.Outcome != order.OutcomeAlreadySubmitted {
		return
	}
	if at, ok := c.claimedAt[order.HashOf(s.id)]; !ok || at > s.answeredAt {
		c.violations[ruleRepeatWithoutClaim]++
	}
}
