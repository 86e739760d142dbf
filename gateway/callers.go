package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/socket"
)

const (
	statusMisdirected = http.StatusMisdirectedRequest

	// Limits of a caller's request, in bytes and time. The configuration may set other
	// limits for the bytes of header and body.
	defaultMaxRequestHead = 64 << 10
	maxBodyBytes          = 8 << 20

	// maxOperatorHeaderBytes bounds the heads of the balancer's and operators' requests.
	maxOperatorHeaderBytes = 8 << 10
	readHeaderTimeout      = 10 * time.Second
	readBodyTimeout        = 30 * time.Second
	idleTimeout            = 60 * time.Second

	// bodyRetryMs is the retry delay of a request that is refused because the bodies being
	// read take too much memory.
	bodyRetryMs = clock.Second
)

// newCallerServer returns the server for callers. It uses net/http, because fasthttp
// does not notice that a caller disconnects while its request runs.
func (g *Gateway) newCallerServer() *http.Server {
	return &http.Server{
		Handler: g.guard(g.serveCaller), MaxHeaderBytes: g.maxRequestHead,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog(), ConnState: g.callerConns.observe,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			roundTrip, _ := socket.RoundTripTime(nc)
			c := &callerConn{roundTripMs: roundTrip}
			c.tracked, _ = nc.(*trackedConn)
			return context.WithValue(ctx, callerConnKey{}, c)
		},
	}
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// callerConn holds measurements of a caller's connection.
type callerConn struct {
	roundTripMs clock.Millis // round-trip time to the caller; 0 if unknown
	reused      atomic.Bool  // the connection has carried a request before
	tracked     *trackedConn // nil if the connection is not one of TCP
}

// roundTripOf returns the network time of a request and its answer. For the first request
// on a connection this is two round trips, because the caller also waited for the TCP
// handshake.
func roundTripOf(r *http.Request) clock.Millis {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	if !c.reused.Swap(true) {
		return 2 * c.roundTripMs
	}
	return c.roundTripMs
}

// holdHead keeps the memory of a request's head until its answer; what follows is its body.
func holdHead(r *http.Request) {
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && c.tracked != nil {
		c.tracked.head.Hold()
	}
}

// newReadyServer returns the server for the load balancer's readiness checks.
func (g *Gateway) newReadyServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog(),
		MaxHeaderBytes: maxOperatorHeaderBytes, ConnState: resetWhenIdle,
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != g.readyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.ready.Load():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	holdHead(r)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	reader := &bodyReader{Reader: r.Body, memory: memory.NewReservation(&g.bodies)}
	defer reader.memory.Release()
	body, status := g.readBody(w, r, reader)
	if status != 0 {
		w.Header().Set("Connection", "close") // the rest of the request is not read
		retryAfter := clock.Millis(0)
		if status == http.StatusServiceUnavailable {
			retryAfter = bodyRetryMs
		}
		refuse(w, status, retryAfter)
		return
	}
	id := r.Header.Get(g.headers.RequestID)
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	remaining, err := parseRemaining(r.Header.Get(g.headers.DeadlineMs))
	if id == "" || err != nil {
		refuse(w, http.StatusBadRequest, 0)
		return
	}
	c := &call{answer: make(chan relay.Answer, 1)}
	c.request = exchange.NewRequest(g.headers.Headers, r.Method, uri, r.Host, id, g.forwardedFields(r.Header), body)
	callID := g.lastCallID.Add(1)
	g.post(loopMsg{call: c, at: g.clock.Now(), relay: relay.ArrivalMsg{ID: callID, Name: id, Host: r.Host, Path: uri, Method: r.Method, BodyBytes: len(body), RemainingMs: remaining, Key: g.keyOf(r), RoundTripMs: roundTripOf(r), AnswerLagMs: g.answerLag.estimate()}})
	select {
	case a := <-c.answer:
		g.writeAnswer(w, id, a)
		if err := http.NewResponseController(w).Flush(); err == nil {
			g.answerLag.add(g.clock.Now() - c.decidedAt)
		}
	case <-r.Context().Done():
		g.post(loopMsg{relay: relay.CallerDisconnectedMsg{ID: callID}})
		// The caller may have ended only its side of the connection. If this function returned,
		// the server would send it a success.
		panic(http.ErrAbortHandler)
	case <-g.loopDone:
		panic(http.ErrAbortHandler) // closes the connection: the request may or may not have run
	}
}

// bodyLimit returns the size of the largest body that is accepted, in bytes.
func (g *Gateway) bodyLimit() int64 {
	if t := g.table.Load(); t != nil && t.Limits().BodyBytes > 0 {
		return int64(t.Limits().BodyBytes)
	}
	return maxBodyBytes
}

// readBody reads the whole body. If the request must be refused, it returns the status
// of the refusal, else 0.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, reader *bodyReader) ([]byte, int) {
	limit := g.bodyLimit()
	if !reader.begin(r.ContentLength, limit) {
		return nil, http.StatusServiceUnavailable
	}
	if t := g.table.Load(); t != nil {
		if n := t.Limits().HeaderBytes; n > 0 && headerBytes(r) > n {
			return nil, http.StatusRequestHeaderFieldsTooLarge
		}
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, io.NopCloser(reader), limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parseRemaining parses the remaining time that the caller states, at least 1 ms. It
// returns 0 if the header is missing.
func parseRemaining(value string) (clock.Millis, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, err
	}
	return clock.Millis(max(n, 1)), nil
}

// statusOf maps outcomes to HTTP statuses. 503 guarantees that the request was not executed.
var statusOf = map[relay.Outcome]int{
	relay.Refused:      http.StatusServiceUnavailable,
	relay.NotReady:     http.StatusServiceUnavailable,
	relay.Failed:       http.StatusBadGateway,
	relay.TimedOut:     http.StatusGatewayTimeout,
	relay.NoRoute:      http.StatusNotFound,
	relay.Unauthorized: http.StatusUnauthorized,
	relay.OverLimit:    http.StatusTooManyRequests,
}

func (g *Gateway) writeAnswer(w http.ResponseWriter, id string, a relay.Answer) {
	h := w.Header()
	h[g.headers.RequestID] = []string{id}
	switch a.Outcome {
	case relay.Relayed:
		fields, _ := a.Reply.Header.([]exchange.Field)
		h["Content-Type"] = nil // keeps net/http from guessing a type
		for _, f := range fields {
			name := http.CanonicalHeaderKey(f.Name)
			if name == g.headers.RequestID {
				continue
			}
			h[name] = append(h[name], f.Value)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
		w.WriteHeader(a.Reply.Status)
		_, _ = w.Write(a.Reply.Body)
	case relay.Gathered:
		h["Content-Type"] = nil
		h[g.headers.Receipts] = []string{strings.Join(a.Receipts, ", ")}
		h[g.headers.MissingShards] = []string{strconv.Itoa(a.Missing)}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Body)
	default:
		if a.Outcome == relay.Unauthorized {
			h.Set("WWW-Authenticate", g.headers.CredentialScheme)
		}
		refuse(w, statusOf[a.Outcome], a.RetryAfterMs)
	}
}

func refuse(w http.ResponseWriter, status int, retryAfter clock.Millis) {
	w.Header()["Content-Type"] = nil
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Duration().Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
