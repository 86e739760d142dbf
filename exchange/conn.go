package exchange

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

var (
	errWrongRequest = errors.New("reply has the ID of another request")
	errNoReply      = errors.New("connection closed before a reply")
	errBadReply     = errors.New("reply is incomplete or invalid")
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
	client     *Client
	conns      *upstreamConns
	nc         net.Conn
	pending    *pendingCall // nil while idle
	lastUsedAt clock.Millis
	maxIdleMs  clock.Millis // how long the connection stays usable while idle
}

// usable reports whether an idle connection may carry a request. For a request that is
// not idempotent it must have been used recently and still be open.
func (cn *conn) usable(now clock.Millis, nonIdempotent bool) bool {
	idle := now - cn.lastUsedAt
	if nonIdempotent {
		return idle < min(nonIdempotentIdleMs, cn.maxIdleMs) && httpcall.Reusable(cn.nc)
	}
	return idle < cn.maxIdleMs
}

// read reads replies until the connection is closed.
func (cn *conn) read() {
	br := bufio.NewReaderSize(cn.nc, readBufferBytes)
	var resp fasthttp.Response
	for {
		_, err := br.Peek(1)
		p := cn.current()
		if err != nil || p == nil {
			cn.close(p, errNoReply, err)
			return
		}
		resp.Reset()
		resp.SkipBody = p.call.Request.noReplyBody
		if err := resp.ReadLimitBody(br, cn.client.maxReplyBytes); err != nil {
			cn.close(p, errBadReply, err)
			return
		}
		if !cn.deliver(p, &resp, br.Buffered()) {
			return
		}
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
	case errors.Is(reason, errBadReply) && errors.Is(cause, io.ErrUnexpectedEOF):
		kind = KindTruncated
	case errors.Is(reason, errBadReply):
		kind = KindInvalid
	}
	err := errors.Join(reason, cause)
	c.finish(p, Result{Attempt: p.call.Attempt, Err: &Error{op: "read", kind: kind, err: err}})
}

// deliver checks a reply and reports it. It returns whether the connection stays open.
func (cn *conn) deliver(p *pendingCall, resp *fasthttp.Response, buffered int) bool {
	c := cn.client
	if id := string(resp.Header.Peek(c.headers.RequestID)); id != "" && id != p.call.Request.id {
		cn.close(p, errWrongRequest, nil)
		return false
	}
	reply := Reply{
		Status:    resp.StatusCode(),
		Receipt:   string(resp.Header.Peek(c.headers.Receipt)),
		Body:      append([]byte(nil), resp.Body()...),
		NotRun:    len(resp.Header.Peek(c.headers.NotRun)) > 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest,
		CloseConn: resp.ConnectionClose(),
		Leaving:   string(resp.Header.Peek(c.headers.Leaving)) == leavingValue,
	}
	if reply.Status == fasthttp.StatusServiceUnavailable {
		reply.RetryAfterMs = parseRetryAfter(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	}
	if p.call.NeedHeader {
		reply.Fields = forwardedFields(resp)
	}
	const noLength = -2 // fasthttp's value for a body that ends with the connection
	keepOpen := !reply.CloseConn && buffered == 0 && (resp.Header.ContentLength() > noLength || resp.SkipBody)
	c.mu.Lock()
	keepOpen = keepOpen && p.written && c.upstreams[cn.conns.id] == cn.conns
	cn.pending = nil
	cn.lastUsedAt = c.clock.Now()
	cn.maxIdleMs = parseIdleTimeout(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)))
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

func forwardedFields(resp *fasthttp.Response) []Field {
	var out []Field
	for name, value := range resp.Header.All() {
		if n := string(name); !IsHopByHop(n) {
			out = append(out, Field{Name: n, Value: string(value)})
		}
	}
	return out
}
