package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/explain"
)

// explainTimeout bounds how long a question waits for the event loop.
const explainTimeout = 2 * time.Second

// explainCall is a question for the event loop. The channel has room for the answer, and is
// closed without one if answering fails.
type explainCall struct {
	question explain.Question
	answer   chan explain.Document
}

// serveExplain answers where a request would go. Neither the question nor an error about it
// is logged: it may hold a key.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	var q explain.Question
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, explain.MaxQuestionBytes))
	dec.DisallowUnknownFields()
	if dec.Decode(&q) != nil || dec.More() { // the error may quote the key
		writeJSON(w, http.StatusBadRequest, entry.ErrorDocument{Error: "body: must be one JSON object with host, path, key, customer, remaining_ms, parts and services"})
		return
	}
	if err := q.Validate(); err != nil {
		writeJSON(w, http.StatusBadRequest, entry.ErrorDocument{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	select {
	case g.explaining <- struct{}{}:
		defer func() { <-g.explaining }()
	case <-ctx.Done():
		writeJSON(w, http.StatusServiceUnavailable, entry.ErrorDocument{Error: "the VM answers other questions"})
		return
	}
	doc, ok := g.askLoop(ctx, q)
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, entry.ErrorDocument{Error: "the VM is too busy, is ending, or could not answer"})
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

// askLoop lets the event loop answer a question. It is not ok if it does not do so in time.
func (g *Gateway) askLoop(ctx context.Context, q explain.Question) (explain.Document, bool) {
	c := &explainCall{question: q, answer: make(chan explain.Document, 1)}
	select {
	case g.inbox <- loopMsg{explain: c}:
	case <-g.loopDone:
		return explain.Document{}, false
	case <-ctx.Done():
		return explain.Document{}, false
	}
	select {
	case doc, ok := <-c.answer:
		return doc, ok
	case <-g.loopDone:
		return explain.Document{}, false
	case <-ctx.Done():
		return explain.Document{}, false
	}
}

// handleExplain answers a question on the event loop. No state depends on it, so a panic does
// not count towards the end of this VM.
func (g *Gateway) handleExplain(c *explainCall) {
	defer close(c.answer)
	defer g.recovered("explanation")
	now, query := g.clock.Now(), c.question.Query()
	query.Arrival.AnswerLagMs = g.answerLag.estimate()
	doc := explain.Document{VM: g.self.ID, DataCentre: g.self.DataCentre, Explanation: g.relayModel.Explain(now, query)}
	if doc.Limit.Customer != "" {
		credit := g.quota.Credit(now, doc.Limit)
		doc.Credit = &credit
	}
	g.metrics.explanations.Inc()
	_ = g.logger.Log("event", "explained", "route", doc.Route, "customer", doc.Customer, "verdict", doc.Verdict(), "reason", doc.Reason())
	c.answer <- doc
}
