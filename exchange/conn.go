package exchange

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/framing"
	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/socket"
)

// defaultReplyMemory bounds the memory of all replies that are being read.
const defaultReplyMemory = 32 << 20

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

var (
	errWrongRequest = errors.New("reply has the ID of another request")
	errNoReply      = errors.New("connection closed before a reply")
	errBadReply     = errors.New("reply is incomplete or invalid")
	errNoReceipt    = errors.New("success has no receipt")
)

// Reply is a complete reply of an upstream.
type Reply struct {
	Status    int
	Receipt   string
	Body      []byte
	NotRun    bool
	CloseConn bool // the upstream closes the connection
	Leaving   bool // the upstream states that it is leaving
	// RetryAfterMs is for how long an upstream that turned the request away asks for no
	// further requests; 0 if it does not.
	RetryAfterMs clock.Millis
	Fields       []Field // headers that are forwarded; set if Call.NeedHeader is set
}

// conn is one connection to an upstream.
type conn struct {
	client    *Client
	conns     *upstreamConns
	nc        net.Conn
	pending   *pendingCall // nil while idle
	exchanges int          // replies received
	// lastRequest is the ID of the last request. The same one is not sent again on this
	// connection, because a second copy of its reply could not be told apart.
	lastRequest string
	lastUsedAt  clock.Millis
	maxIdleMs   clock.Millis // how long the connection stays usable while idle
}

// usable reports whether an idle connection may carry a request. For a request that is
// not idempotent it must have been used recently and still be open.
func (cn *conn) usable(now clock.Millis, call *Call) bool {
	idle := now - cn.lastUsedAt
	if call.Request.id == cn.lastRequest {
		return false
	}
	if call.NonIdempotent {
		return idle < min(nonIdempotentIdleMs, cn.maxIdleMs) && httpcall.Reusable(cn.nc)
	}
	return idle < cn.maxIdleMs
}

// hasTakenAll reports whether the upstream's system has received all that was written. An
// upstream may reply before it has read the body, and what follows on the connection would
// then wait until it reads on.
func (cn *conn) hasTakenAll() bool {
	n, ok := socket.Unacknowledged(cn.nc)
	return n == 0 || !ok
}

// read reads replies until the connection is closed.
func (cn *conn) read() {
	defer cn.recoverRead()
	r := framing.NewReader(cn.nc, readBufferBytes, cn.client.maxHeadBytes, cn.client.maxReplyBytes, &cn.client.replyMemory)
	defer r.Release()
	for {
		r.Release()
		err := r.Wait()
		p := cn.current()
		if err != nil || p == nil {
			cn.close(p, errNoReply, err)
			return
		}
		body, err := r.Read(p.call.Request.noReplyBody)
		if err != nil {
			cn.close(p, errBadReply, err)
			return
		}
		if !cn.deliver(p, r, body) {
			return
		}
	}
}

// recoverRead ends the connection after an unexpected error in reading it.
func (cn *conn) recoverRead() {
	if v := recover(); v != nil {
		cn.close(cn.current(), errBadReply, fmt.Errorf("panic: %v", v))
	}
}

func (cn *conn) current() *pendingCall {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	return cn.pending
}

// close closes the connection and reports the failure of the call that is pending on it.
func (cn *conn) close(p *pendingCall, reason, cause error) {
	c := cn.client
	_ = cn.nc.Close()
	c.mu.Lock()
	if p == nil {
		p = cn.pending // set after the last check in read
	}
	cn.pending = nil
	cn.conns.openConns--
	cn.conns.removeIdle(cn)
	sent := p != nil && p.sent
	c.mu.Unlock()
	if p == nil {
		return
	}
	kind := KindBroken
	switch {
	case !sent:
		kind = KindNotSent
	case errors.Is(reason, errWrongRequest):
		kind = KindWrongRequest
	case errors.Is(cause, framing.ErrHeadTooLarge):
		kind = KindHeadTooLarge
	case errors.Is(reason, errBadReply) && errors.Is(cause, io.ErrUnexpectedEOF):
		kind = KindTruncated
	case errors.Is(reason, errBadReply):
		kind = KindInvalid
	}
	err := errors.Join(reason, cause)
	c.finish(p, Result{Attempt: p.call.Attempt, Err: &Error{op: "read", kind: kind, err: err}})
}

// deliver checks a reply and reports it. It returns whether the connection stays open.
func (cn *conn) deliver(p *pendingCall, r *framing.Reader, body []byte) bool {
	c, h := cn.client, r.Head()
	id := string(h.Peek(c.headers.RequestID))
	if id != p.call.Request.id && (id != "" || cn.exchanges > 0) {
		// Without an ID, a reply on a connection that was used before may be a second copy
		// of an earlier one.
		cn.close(p, errWrongRequest, nil)
		return false
	}
	reply := Reply{
		Status:    h.StatusCode(),
		Receipt:   string(h.Peek(c.headers.Receipt)),
		Body:      body,
		NotRun:    len(h.Peek(c.headers.NotRun)) > 0 || h.StatusCode() == fasthttp.StatusMisdirectedRequest,
		CloseConn: h.ConnectionClose(),
		Leaving:   string(h.Peek(c.headers.Leaving)) == leavingValue,
	}
	if reply.Receipt == "" && c.headers.Receipt != "" && reply.Status >= 200 && reply.Status < 300 {
		cn.close(p, errBadReply, errNoReceipt) // of no upstream, or the rest of its head was lost
		return false
	}
	if reply.Status == fasthttp.StatusServiceUnavailable {
		reply.RetryAfterMs = parseRetryAfter(string(h.Peek(fasthttp.HeaderRetryAfter)))
	}
	if p.call.NeedHeader {
		reply.Fields = forwardedFields(h)
	}
	keepOpen := id != "" && !r.EndsConnection()
	c.mu.Lock()
	keepOpen = keepOpen && p.written && (len(p.call.Request.body) == 0 || cn.hasTakenAll()) && c.upstreams[cn.conns.id] == cn.conns
	cn.pending = nil
	cn.exchanges++
	cn.lastRequest = p.call.Request.id
	cn.lastUsedAt = c.clock.Now()
	cn.maxIdleMs = parseIdleTimeout(string(h.Peek(fasthttp.HeaderKeepAlive)))
	if keepOpen {
		cn.conns.idle = append(cn.conns.idle, cn)
	} else {
		cn.conns.openConns--
	}
	c.mu.Unlock()
	if !keepOpen {
		_ = cn.nc.Close()
	}
	c.finish(p, Result{Attempt: p.call.Attempt, Reply: reply})
	return keepOpen
}

// leavingValue is the value of the header by which an upstream states that it is leaving.
const leavingValue = "1"

// maxRetryAfterMs is the largest value that parseRetryAfter returns.
const maxRetryAfterMs = clock.Hour

// parseRetryAfter returns the time that a Retry-After header states in seconds, rounded
// up. It returns 0 if the header is missing, is not a positive decimal number, or is a date.
func parseRetryAfter(value string) clock.Millis {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return clock.Millis(min(math.Ceil(seconds*float64(clock.Second)), float64(maxRetryAfterMs)))
}

// parseIdleTimeout returns the idle timeout that a Keep-Alive header states, less
// idleMarginMs, or else defaultIdleTimeoutMs.
func parseIdleTimeout(value string) clock.Millis {
	for _, param := range strings.Split(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(param), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
			return clock.Millis(n)*clock.Second - idleMarginMs
		}
	}
	return defaultIdleTimeoutMs
}

// notForwarded holds the hop-by-hop headers, and Content-Length, in lower case.
var notForwarded = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "proxy-authorization": true, "content-length": true,
}

// IsHopByHop reports whether a header applies to a single connection, or states the
// length of the body, so that it is not forwarded.
func IsHopByHop(name string) bool { return notForwarded[strings.ToLower(name)] }

func forwardedFields(h *fasthttp.ResponseHeader) []Field {
	var out []Field
	for name, value := range h.All() {
		if n := string(name); !IsHopByHop(n) {
			out = append(out, Field{Name: n, Value: string(value)})
		}
	}
	return out
}
