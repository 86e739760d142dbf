package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/memory"
)

// Call is a request and its timeout.
type Call struct {
	Method  string
	Path    string // including the query string
	Body    []byte // JSON; may be empty
	Timeout time.Duration
	Header  string // name of the reply's header to return; may be empty
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
	timeout := call.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := h.checkReady(ctx, timeout); err != nil {
		return Reply{}, &Error{op: op, kind: KindNotSent, err: err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	h.fillRequest(req, call)
	if err := h.client.DoTimeout(req, resp, timeout); err != nil {
		return Reply{}, &Error{op: op, kind: classify(err, connOf(resp)), err: err}
	}
	reply, kind, err := h.readReply(resp, check)
	if err != nil {
		return Reply{}, &Error{op: op, kind: kind, err: err}
	}
	if call.Header != "" {
		reply.Header = string(resp.Header.Peek(call.Header))
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
	req.SetRequestURI(call.Path)
	req.SetHost(h.address)
	if len(call.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(call.Body)
	}
}

func connOf(resp *fasthttp.Response) *conn {
	if a, ok := resp.RemoteAddr().(connAddr); ok {
		return a.conn
	}
	return nil
}

// classify returns the kind of an error that occurred before the headers of a reply
// were read.
func classify(err error, c *conn) Kind {
	switch {
	case errors.As(err, new(dialError)):
		return KindDial
	case errors.Is(err, errStale):
		return KindStale
	case c == nil || !c.sent:
		return KindNotSent // also if the host is closed or no connection became free
	case isTimeout(err):
		return KindTimeout
	case errors.Is(err, errStatus):
		return KindInvalid
	case c.receivedBytes > 0:
		return KindTruncated
	default:
		return KindBroken
	}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &nerr) && nerr.Timeout()
}

var (
	errNoLength     = errors.New("reply has no content length")
	errNoBody       = errors.New("reply has no body")
	errTruncated    = errors.New("reply ended early")
	errTooLarge     = errors.New("reply body exceeds the size limit")
	errOverLimit    = errors.New("more connections are open than allowed")
	errTrailingData = errors.New("reply is followed by unexpected bytes")
)

// readReply reads and checks the body while the connection still belongs to the
// call, then returns the connection to the pool or closes it.
func (h *Host) readReply(resp *fasthttp.Response, check CheckReply) (Reply, Kind, error) {
	c := connOf(resp)
	if resp.BodyStream() == nil || c == nil {
		// fasthttp has already returned the connection to its pool, as it does for
		// status 204 and 304.
		if c != nil {
			_ = c.Close()
		}
		return Reply{}, KindTruncated, errNoBody
	}
	reply, kind, err := h.readBody(resp, c)
	if err == nil && check != nil {
		if err = check(reply); err != nil {
			kind = KindRejected
		}
	}
	closeErr := err // a non-nil error makes fasthttp close the connection
	if err == nil {
		c.endExchange()
		if h.overLimit() {
			closeErr = errOverLimit
		}
	}
	if body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = body.CloseWithError(closeErr)
	}
	return reply, kind, err
}

func (h *Host) readBody(resp *fasthttp.Response, c *conn) (Reply, Kind, error) {
	length := resp.Header.ContentLength()
	switch {
	case length < 0:
		return Reply{}, KindTruncated, errNoLength
	case length > h.maxReplyBytes:
		return Reply{}, KindTooLarge, errTooLarge
	}
	body, err := h.readFull(resp.BodyStream(), length)
	switch {
	case errors.Is(err, memory.ErrExceeded):
		return Reply{}, KindTooLarge, err
	case isTimeout(err):
		return Reply{}, KindTimeout, err
	case err != nil:
		return Reply{}, KindTruncated, errors.Join(errTruncated, err)
	}
	if c.hasTrailingData(length) {
		return Reply{}, KindTrailingData, errTrailingData
	}
	return Reply{Status: resp.StatusCode(), Body: body}, 0, nil
}

const (
	// directBytes is the size up to which a body is read into a buffer of its full length. A
	// longer one may never come, so its buffer grows with what arrives.
	directBytes = 64 << 10

	// bytesPerByte is the memory that a growing buffer takes for each of its bytes: the smaller
	// ones that were copied to it are freed later.
	bytesPerByte = 3
)

// readFull reads n bytes. It fails with memory.ErrExceeded if all bodies that are being read
// take too much memory.
func (h *Host) readFull(r io.Reader, n int) ([]byte, error) {
	if n == 0 {
		return []byte{}, nil
	}
	reserved := memory.NewReservation(h.memory)
	defer reserved.Release()
	body := make([]byte, 0, min(n, directBytes))
	for {
		got, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+got]
		if err != nil || len(body) == n {
			return body, err
		}
		size := min(2*cap(body), n)
		if !reserved.GrowTo(int64(size)*bytesPerByte, directBytes) {
			return nil, memory.ErrExceeded
		}
		body = append(make([]byte, 0, size), body...)
	}
}
