package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
)

// readBytes is the size of a connection's read buffer.
const readBytes = 4 << 10

var (
	errForeign  = errors.New("reply carries another request's identifier")
	errNoReply  = errors.New("connection ended before a reply")
	errNotWhole = errors.New("reply ended early")
)

// Reply is a whole reply.
type Reply struct {
	Status    int
	Receipt   string
	Body      []byte
	NotRun    bool
	CloseConn bool    // the upstream closes the connection
	Fields    []Field // headers that concern more than one connection
}

// conn is one connection to an upstream.
type conn struct {
	client *Client
	host   *host
	nc     net.Conn
	job    *job // nil while idle
	usedAt clock.Millis
	idleMs clock.Millis // how long it may be idle
}

func (cn *conn) good(now clock.Millis, fresh bool) bool {
	idle := now - cn.usedAt
	if fresh {
		return idle < min(freshIdleMs, cn.idleMs) && httpcall.Reusable(cn.nc)
	}
	return idle < cn.idleMs
}

// read reads replies until the connection ends.
func (cn *conn) read() {
	br := bufio.NewReaderSize(cn.nc, readBytes)
	var resp fasthttp.Response
	for {
		_, err := br.Peek(1)
		j := cn.current()
		if err != nil || j == nil {
			cn.close(j, errNoReply, err)
			return
		}
		resp.Reset()
		resp.SkipBody = j.call.Request.bare
		if err := resp.ReadLimitBody(br, cn.client.replyBytes); err != nil {
			cn.close(j, errNotWhole, err)
			return
		}
		if !cn.deliver(j, &resp, br.Buffered()) {
			return
		}
	}
}

func (cn *conn) current() *job {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	return cn.job
}

// close ends the connection, and the job that is open on it.
func (cn *conn) close(j *job, reason, cause error) {
	c := cn.client
	_ = cn.nc.Close()
	c.mu.Lock()
	if j == nil {
		j = cn.job // taken between the last read and now
	}
	cn.job = nil
	cn.host.open--
	cn.host.unidle(cn)
	sent := j != nil && j.sent
	c.mu.Unlock()
	if j == nil {
		return
	}
	kind := KindBroken
	switch {
	case !sent:
		kind = KindNotSent
	case errors.Is(reason, errForeign):
		kind = KindWrongRequest
	case errors.Is(reason, errNotWhole) && errors.Is(cause, io.ErrUnexpectedEOF):
		kind = KindTruncated
	case errors.Is(reason, errNotWhole):
		kind = KindInvalid
	}
	err := errors.Join(reason, cause)
	c.end(j, Result{Attempt: j.call.Attempt, Err: &Error{op: "read", kind: kind, err: err}})
}

// deliver checks and reports a reply. It returns whether the connection stays open.
func (cn *conn) deliver(j *job, resp *fasthttp.Response, surplus int) bool {
	c := cn.client
	if id := string(resp.Header.Peek(c.headers.RequestID)); id != "" && id != j.call.Request.id {
		cn.close(j, errForeign, nil)
		return false
	}
	reply := Reply{
		Status:    resp.StatusCode(),
		Receipt:   string(resp.Header.Peek(c.headers.Receipt)),
		Body:      append([]byte(nil), resp.Body()...),
		NotRun:    len(resp.Header.Peek(c.headers.NotRun)) > 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest,
		CloseConn: resp.ConnectionClose(),
	}
	if j.call.NeedHeader {
		reply.Fields = fieldsOf(resp)
	}
	const noLength = -2 // fasthttp's mark of a body that ends with its connection
	keep := !reply.CloseConn && surplus == 0 && (resp.Header.ContentLength() > noLength || resp.SkipBody)
	c.mu.Lock()
	keep = keep && j.wrote && c.hosts[cn.host.upstream] == cn.host
	cn.job = nil
	cn.usedAt = c.clock.Now()
	cn.idleMs = statedIdle(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)))
	if keep {
		cn.host.idle = append(cn.host.idle, cn)
	} else {
		cn.host.open--
	}
	c.mu.Unlock()
	if !keep {
		_ = cn.nc.Close()
	}
	c.end(j, Result{Attempt: j.call.Attempt, Reply: reply})
	return keep
}

// statedIdle reads the idle timeout of a Keep-Alive header.
func statedIdle(value string) clock.Millis {
	for _, param := range strings.Split(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(param), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
			return clock.Millis(n)*clock.Second - idleReserveMs
		}
	}
	return unstatedIdleMs
}

// connectionOnly are the headers that concern one connection.
var connectionOnly = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "proxy-authorization": true, "content-length": true,
}

// IsHopByHop reports whether a header concerns one connection only, or the
// length of its body, so that it is not passed on.
func IsHopByHop(name string) bool { return connectionOnly[strings.ToLower(name)] }

func fieldsOf(resp *fasthttp.Response) []Field {
	var out []Field
	for name, value := range resp.Header.All() {
		if n := string(name); !IsHopByHop(n) {
			out = append(out, Field{Name: n, Value: string(value)})
		}
	}
	return out
}
