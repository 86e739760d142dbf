package httpcall

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/framing"
	"lentillink.example/lentillink/memory"
)

// stallTimeout bounds the time between two reads of a reply that takes longer than the timeout
// of its call.
const stallTimeout = time.Second

// Call is a request and its timeout.
type Call struct {
	Method  string
	Path    string // including the query string
	Body    []byte // JSON; may be empty
	Timeout time.Duration
	// TransferTimeout, if not 0, replaces Timeout once the first byte of the reply has arrived,
	// for as long as further ones follow within stallTimeout.
	TransferTimeout time.Duration
	Begun           func() // called when the first byte of the reply has arrived; may be nil
	Header          string // name of the reply's header to return; may be empty
}

// Reply is a complete reply.
type Reply struct {
	Status int
	Body   []byte // a copy that the caller owns
	Header string // value of the header that the call names
}

// CheckReply returns an error if a reply does not match the call. Such a reply is
// not returned, and its connection is closed.
type CheckReply func(Reply) error

// Do sends a request and returns the reply. Its errors are of type *Error. check may be nil.
func (h *Host) Do(ctx context.Context, call Call, check CheckReply) (Reply, error) {
	op := call.Method + " " + call.Path
	deadline := time.Now().Add(call.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := h.checkReady(ctx, time.Until(deadline)); err != nil {
		return Reply{}, &Error{op: op, kind: KindNotSent, err: err}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h.fillRequest(req, call)
	for attempt := 1; ; attempt++ {
		reply, c, err := h.exchange(req, call, deadline, check)
		if err == nil {
			return reply, nil
		}
		if !errors.Is(err, errStale) || attempt == maxStaleAttempts {
			return Reply{}, &Error{op: op, kind: classify(err, c), err: err}
		}
	}
}

// exchange sends a request on one connection and reads the reply. It returns the connection,
// which may be closed, with an error, and none if it got none.
func (h *Host) exchange(req *fasthttp.Request, call Call, deadline time.Time, check CheckReply) (Reply, *conn, error) {
	cc, err := h.client.AcquireConn(time.Until(deadline), false)
	if err != nil {
		return Reply{}, nil, err
	}
	c, ok := cc.Conn().(*conn)
	if !ok {
		h.client.CloseConn(cc)
		return Reply{}, nil, errClosed
	}
	reply, err := c.exchange(req, call, deadline, check)
	if err != nil || c.reader.EndsConnection() || h.overLimit() {
		h.client.CloseConn(cc)
	} else {
		c.endExchange()
		h.client.ReleaseConn(cc)
	}
	return reply, c, err
}

// exchange sends a request and reads and checks the reply.
func (c *conn) exchange(req *fasthttp.Request, call Call, deadline time.Time, check CheckReply) (Reply, error) {
	defer c.reader.Release()
	if err := c.SetDeadline(deadline); err != nil {
		return Reply{}, err
	}
	w := c.host.client.AcquireWriter(c)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	c.host.client.ReleaseWriter(w)
	if err != nil {
		return Reply{}, err
	}
	if err := c.reader.Wait(); err != nil {
		return Reply{}, err
	}
	if call.Begun != nil {
		call.Begun()
	}
	if call.TransferTimeout > 0 {
		c.transferEnd = time.Now().Add(call.TransferTimeout)
	}
	body, err := c.reader.Read(call.Method == fasthttp.MethodHead)
	if err != nil {
		return Reply{}, err
	}
	if c.reader.Left() > 0 {
		return Reply{}, errTrailingData
	}
	head := c.reader.Head()
	reply := Reply{Status: head.StatusCode(), Body: body}
	if call.Header != "" {
		reply.Header = string(head.Peek(call.Header))
	}
	if check != nil {
		if err := check(reply); err != nil {
			return Reply{}, rejectedError{err}
		}
	}
	return reply, nil
}

func (h *Host) checkReady(ctx context.Context, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if timeout <= 0 {
		return context.DeadlineExceeded
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return errClosed
	}
	if h.maxConns < 1 { // fasthttp would replace 0 by its own default
		return fasthttp.ErrNoFreeConns
	}
	return nil
}

func (h *Host) fillRequest(req *fasthttp.Request, call Call) {
	req.Header.SetMethod(call.Method)
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI(call.Path)
	req.SetHost(h.address)
	req.Header.SetUserAgent(userAgent)
	if len(call.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(call.Body)
	}
}

// classify returns the kind of an error of an exchange on c, which is nil if there was none.
func classify(err error, c *conn) Kind {
	switch {
	case errors.As(err, new(rejectedError)):
		return KindRejected
	case errors.As(err, new(dialError)):
		return KindDial
	case errors.Is(err, errStale):
		return KindStale
	case c == nil || !c.sent:
		return KindNotSent // also if the host is closed or no connection became free
	case isTimeout(err):
		return KindTimeout
	case errors.Is(err, framing.ErrStatus), errors.Is(err, framing.ErrFraming), errors.Is(err, framing.ErrSwitching):
		return KindInvalid
	case errors.Is(err, framing.ErrTooLarge), errors.Is(err, framing.ErrHeadTooLarge), errors.Is(err, memory.ErrExceeded):
		return KindTooLarge
	case errors.Is(err, errTrailingData):
		return KindTrailingData
	case c.received:
		return KindTruncated
	default:
		return KindBroken
	}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &nerr) && nerr.Timeout()
}

var errTrailingData = errors.New("reply is followed by unexpected bytes")

// rejectedError marks the error of a CheckReply.
type rejectedError struct{ error }

func (e rejectedError) Unwrap() error { return e.error }
