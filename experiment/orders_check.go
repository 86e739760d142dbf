package experiment

import (
	"encoding/binary"
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// orderRule names one invariant that the checker counts violations of.
type orderRule string

const (
	ruleRunsTwice   orderRule = "run twice"
	ruleWrongNo     orderRule = "wrong ran: no"
	ruleSentAfterNo orderRule = "sent after ran: no"
	ruleWrongYes    orderRule = "wrong ran: yes"
	ruleNoClaim     orderRule = "already_submitted without a claim"
	ruleUnclaimed   orderRule = "sent without a claim in the store"
	ruleTwoSends    orderRule = "sent again without proof of not run"
	ruleAnswers     orderRule = "submission not answered exactly once"
)

var orderRules = []orderRule{
	ruleRunsTwice, ruleWrongNo, ruleSentAfterNo, ruleWrongYes, ruleNoClaim, ruleUnclaimed, ruleTwoSends, ruleAnswers,
}

// orderChecker sees what callers, the store and upstreams see. It knows nothing
// of the state of the machines: a submission is told by its body.
type orderChecker struct {
	subs       []*orderSubmission
	runs       map[string]int
	uncertain  map[string]bool // ids of which an attempt or its reply was lost
	claimed    map[order.Hash]clock.Millis
	tokens     map[order.Hash]bool
	sentUnder  map[order.Hash]bool // tokens under which an attempt was sent
	broken     map[orderRule]int
	firstSends []clock.Millis // time from submission to first send
}

// orderSubmission is one delivery of an order to one VM.
type orderSubmission struct {
	order    int
	id       string
	vm       *orderVM
	at       clock.Millis
	sends    int
	runs     int
	answers  int
	answer   order.Answer
	answerAt clock.Millis
}

func newOrderChecker() *orderChecker {
	return &orderChecker{
		runs: make(map[string]int), uncertain: make(map[string]bool),
		claimed: make(map[order.Hash]clock.Millis), tokens: make(map[order.Hash]bool),
		sentUnder: make(map[order.Hash]bool),
		broken:    make(map[orderRule]int),
	}
}

func orderBody(call uint64) []byte { return binary.BigEndian.AppendUint64(nil, call) }

func (c *orderChecker) ofBody(b []byte) *orderSubmission { return c.subs[binary.BigEndian.Uint64(b)] }

func (c *orderChecker) attemptLost(id string) { c.uncertain[id] = true }

// wrote records the claims that a write of a head made durable.
func (c *orderChecker) wrote(now clock.Millis, key string, value []byte) {
	if !strings.HasSuffix(key, "/head") {
		return
	}
	head, err := order.DecodeHead(value)
	if err != nil {
		panic(err)
	}
	for _, claim := range head.Claims {
		if c.tokens[claim.Token] {
			continue
		}
		c.tokens[claim.Token] = true
		if _, ok := c.claimed[claim.ID]; !ok {
			c.claimed[claim.ID] = now
		}
	}
}

func (c *orderChecker) sent(now clock.Millis, cmd order.SendCmd) {
	s := c.ofBody(cmd.Request.Body)
	if s.sends == 0 {
		c.firstSends = append(c.firstSends, now-s.at)
	}
	s.sends++
	token := cmd.Token.Hash()
	c.sentUnder[token] = true
	if !c.tokens[token] {
		c.broken[ruleUnclaimed]++
	}
	if s.runs > 0 {
		c.broken[ruleTwoSends]++
	}
	if s.answers > 0 && s.answer.Execution == attempt.NotExecuted {
		c.broken[ruleSentAfterNo]++
	}
}

func (c *orderChecker) ranAt(req attempt.Request) {
	c.ofBody(req.Body).runs++
	c.runs[req.OrderID]++
}

func (c *orderChecker) answered(now clock.Millis, a order.Answer) *orderSubmission {
	s := c.subs[a.CallID]
	s.answers++
	s.answer, s.answerAt = a, now
	return s
}

// finish checks every answer against what was run by the end.
func (c *orderChecker) finish() {
	for _, runs := range c.runs {
		if runs > 1 {
			c.broken[ruleRunsTwice]++
		}
	}
	for _, s := range c.subs {
		if s.answers > 1 || s.answers == 0 && !s.vm.dead {
			c.broken[ruleAnswers]++
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
			c.broken[ruleWrongNo]++
		}
	case attempt.Executed:
		if c.runs[s.id] == 0 || s.answer.Outcome == order.OutcomeDone && s.runs == 0 {
			c.broken[ruleWrongYes]++
		}
	}
	if s.answer.Outcome != order.OutcomeAlreadySubmitted {
		return
	}
	if at, ok := c.claimed[order.HashOf(s.id)]; !ok || at > s.answerAt {
		c.broken[ruleNoClaim]++
	}
}
