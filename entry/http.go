package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/vm"
)

const (
	readTimeout = 30 * clock.Second // a connection is closed if reading one request takes longer
	idleTimeout = 60 * clock.Second

	// requestMemoryRetryMs is the time after which a request that found no memory may come back.
	requestMemoryRetryMs = clock.Second
)

func (v *VM) newServer() *fasthttp.Server {
	scrape := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	routes := map[string]fasthttp.RequestHandler{
		"POST /v1/query":   v.serveQuery,
		"POST /v1/order":   v.serveOrder,
		"GET /healthz":     v.serveHealth,
		"GET /readyz":      v.serveReady,
		"GET /metrics":     func(r *fasthttp.RequestCtx) { v.serveMetrics(r, scrape) },
		"GET /v1/status":   v.serveStatus,
		"GET /v1/events":   v.serveEvents,
		"GET /v1/presets":  v.servePresets,
		"POST /v1/presets": v.serveChange,
	}
	return &fasthttp.Server{
		Handler: func(r *fasthttp.RequestCtx) {
			h, ok := routes[string(r.Method())+" "+string(r.Path())]
			if !ok {
				writeJSON(r, fasthttp.StatusNotFound, ErrorDocument{Error: "no such method and path", Execution: attempt.NotExecuted})
				return
			}
			v.serveSafely(h, r)
		},
		ErrorHandler:       serveReadError,
		ConnState:          releaseIdle,
		MaxRequestBodySize: v.settings.Limits().RequestBodyBytes,
		ReadTimeout:        readTimeout.Duration(),
		IdleTimeout:        idleTimeout.Duration(),
		CloseOnShutdown:    true,
		Name:               "lentillink",
		Logger:             discardLogger{},
	}
}

// serveSafely calls a handler. fasthttp does not recover from a panic in one, which would
// end the process. The answer promises nothing, since the request may have run.
func (v *VM) serveSafely(h fasthttp.RequestHandler, r *fasthttp.RequestCtx) {
	defer func() {
		if err := recover(); err != nil {
			_ = v.logger.Log("event", "internal_error", "path", string(r.Path()), "err", fmt.Sprint(err))
			r.Response.Reset()
			writeJSON(r, fasthttp.StatusBadGateway, ErrorDocument{Error: "internal error", Execution: attempt.ExecutionUnknown})
		}
	}()
	h(r)
}

// discardLogger discards fasthttp's messages about broken connections. Metrics
// and events cover failures that need attention.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// serveReadError answers a request that could not be read completely. The core
// never received it, so it was not executed.
func serveReadError(r *fasthttp.RequestCtx, err error) {
	if errors.Is(err, memory.ErrExceeded) {
		if c, ok := r.Conn().(*lingerConn); ok {
			c.bodyUnread = true
		}
		setRetryAfter(r, requestMemoryRetryMs)
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: err.Error(), Execution: attempt.NotExecuted})
		return
	}
	text := "request could not be read completely: " + err.Error()
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		text = "body: larger than limits.request_body_bytes"
		if c, ok := r.Conn().(*lingerConn); ok {
			c.bodyUnread = true
		}
	}
	writeJSON(r, fasthttp.StatusBadRequest, ErrorDocument{Error: text, Field: "body", Execution: attempt.NotExecuted})
}

func (v *VM) serveQuery(r *fasthttp.RequestCtx) {
	customer, ok := v.identify(r)
	if !ok {
		writeUnauthorized(r)
		return
	}
	q, rk, err := DecodeQuery(r.PostBody())
	if err != nil {
		writeInvalid(r, err)
		return
	}
	if err := v.checkService(q.Service); err != nil {
		writeInvalid(r, err)
		return
	}
	msg := vm.QueryMsg{
		CallID: v.lastCallID.Add(1), ID: q.ID, Rank: rk, Service: q.Service, Body: q.Query, Customer: customer, MinCoverage: -1,
	}
	if q.DeadlineMs != nil {
		msg.BudgetMs = *q.DeadlineMs
	}
	if q.MinCoverage != nil {
		msg.MinCoverage = *q.MinCoverage * 100
	}
	a, ok := v.callCore(msg.CallID, msg).(vm.AnswerQueryCmd)
	if !ok {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: "the VM has stopped", Execution: attempt.ExecutionUnknown})
		return
	}
	setRetryAfter(r, a.Answer.RetryAfterMs)
	writeJSON(r, queryStatus(a.Answer), v.queryDocument(a.Answer))
}

func (v *VM) serveOrder(r *fasthttp.RequestCtx) {
	customer, ok := v.identify(r)
	if !ok {
		writeUnauthorized(r)
		return
	}
	o, rk, err := DecodeOrder(r.PostBody())
	if err != nil {
		writeInvalid(r, err)
		return
	}
	if err := v.checkGroup(o.Service, o.Group); err != nil {
		writeInvalid(r, err)
		return
	}
	msg := vm.OrderMsg{CallID: v.lastCallID.Add(1), ID: o.ID, Rank: rk, Service: o.Service, Group: o.Group, Body: o.Body, Customer: customer}
	a, ok := v.callCore(msg.CallID, msg).(vm.AnswerOrderCmd)
	if !ok {
		writeJSON(r, fasthttp.StatusBadGateway, ErrorDocument{Error: "the VM has stopped", Execution: attempt.ExecutionUnknown})
		return
	}
	setRetryAfter(r, a.Answer.RetryAfterMs)
	writeJSON(r, orderStatus(a.Answer), v.orderDocument(a.Answer))
}

// checkService refuses a service that is not in the settings.
func (v *VM) checkService(service string) error {
	if v.groups[service] == nil {
		return invalid("service", "%q is not a service of this deployment", service)
	}
	return nil
}

// checkGroup refuses a service or group that is not in the settings.
func (v *VM) checkGroup(service, group string) error {
	if err := v.checkService(service); err != nil {
		return err
	}
	if !v.groups[service][group] {
		return invalid("group", "%q is not a group of service %q", group, service)
	}
	return nil
}

func groupsOf(s *settings.Settings) map[string]map[string]bool {
	services := make(map[string]map[string]bool)
	for _, svc := range s.Document().Services {
		services[svc.Name] = make(map[string]bool)
		for _, g := range svc.Groups {
			services[svc.Name][g.Name] = true
		}
	}
	return services
}

// callCore sends a request to the event loop and waits for the answer. It returns
// nil if the VM stops first.
func (v *VM) callCore(callID uint64, msg vm.Msg) vm.Cmd {
	answer := make(chan vm.Cmd, 1)
	select {
	case v.inbox <- inboxItem{msg: msg, callID: callID, answer: answer}:
	case <-v.stopped:
		return nil
	}
	select {
	case a := <-answer:
		return a
	case <-v.stopped:
	}
	select { // both channels may have been ready, and select picks one at random
	case a := <-answer:
		return a
	default:
		return nil
	}
}

func (v *VM) serveHealth(r *fasthttp.RequestCtx) {
	if err := v.readCore(func(*vm.Core, clock.Millis) {}); err != nil {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: err.Error()})
		return
	}
	r.SetBodyString("ok\n")
}

func (v *VM) serveReady(r *fasthttp.RequestCtx) {
	ready, reason := false, "stopped"
	_ = v.readCore(func(core *vm.Core, _ clock.Millis) { ready, reason = core.Ready() })
	if !ready {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: reason, Execution: attempt.NotExecuted})
		return
	}
	r.SetBodyString("ready\n")
}

func (v *VM) serveMetrics(r *fasthttp.RequestCtx, scrape fasthttp.RequestHandler) {
	_ = v.readCore(func(core *vm.Core, _ clock.Millis) { v.metrics.updateGauges(core) })
	scrape(r)
}

func setRetryAfter(r *fasthttp.RequestCtx, ms clock.Millis) {
	if ms > 0 {
		seconds := math.Ceil(ms.Duration().Seconds())
		r.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', 0, 64))
	}
}

func writeInvalid(r *fasthttp.RequestCtx, err error) {
	doc := ErrorDocument{Error: err.Error(), Execution: attempt.NotExecuted}
	var failed *Error
	if errors.As(err, &failed) {
		doc.Field = failed.Field()
	}
	writeJSON(r, fasthttp.StatusBadRequest, doc)
}

func writeJSON(r *fasthttp.RequestCtx, status int, doc any) {
	data, err := json.Marshal(doc)
	if err != nil {
		r.Error("answer cannot be encoded", fasthttp.StatusInternalServerError)
		return
	}
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.SetBody(append(data, '\n'))
}

// stringArg returns a query argument.
func stringArg(r *fasthttp.RequestCtx, name string) string { return string(r.QueryArgs().Peek(name)) }

// uintArg returns a numeric query argument, or 0 if it is absent.
func uintArg(r *fasthttp.RequestCtx, name string) (uint64, error) {
	s := stringArg(r, name)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, invalid(name, "%q is not a number", s)
	}
	return n, nil
}

// durationArg returns a duration argument such as 90s, or 0 if it is absent.
func durationArg(r *fasthttp.RequestCtx, name string) (time.Duration, error) {
	s := stringArg(r, name)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, invalid(name, "%q is not a duration such as 90s", s)
	}
	return d, nil
}
