package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is one request.
type Call struct {
	Method  string
	Path    string // with its query string
	Body    []byte // JSON, may be empty
	Timeout time.Duration
}

// Reply is a whole reply.
type Reply struct {
	Status int
	Body   []byte // a copy that the caller owns
}

// CheckReply decides whether a reply answers the call. A Reply whose Check fails is
// not returned, and its connection is closed.
type CheckReply func(Reply) error

// Do makes one call. Its errors are of type *Error. check may be nil.
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
	if h.maxConns < 1 { // fasthttp takes 0 for its own default
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

// classify classifies an error that came before the head of a reply.
func classify(err error, c *conn) Kind {
	switch {
	case errors.As(err, new(dialError)):
		return KindDial
	case errors.Is(err, errStale):
		return KindStale
	case c == nil || !c.sent:
		return KindNotSent // also when the client closed or no place became free
	case isTimeout(err):
		return KindTimeout
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
	errNoLength     = errors.New("reply without content length")
	errNoBody       = errors.New("reply without a body")
	errTruncated    = errors.New("reply ended early")
	errTooLarge     = errors.New("reply exceeds the limit")
	errOverLimit    = errors.New("more connections than allowed")
	errTrailingData = errors.New("bytes follow the reply")
)

// readReply reads and checks the body while the connection is still held, then
// returns the connection to the pool or closes it.
func (h *Host) readReply(resp *fasthttp.Response, check CheckReply) (Reply, Kind, error) {
	c := connOf(resp)
	if resp.BodyStream() == nil || c == nil {
		// fasthttp gave the connection back already, as it does for status 204 and 304.
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
	closeErr := err // an error closes the connection
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
	body := make([]byte, length)
	if length > 0 {
		if _, err := io.ReadFull(resp.BodyStream(), body); isTimeout(err) {
			return Reply{}, KindTimeout, err
		} else if err != nil {
			return Reply{}, KindTruncated, errors.Join(errTruncated, err)
		}
	}
	if c.hasTrailingData(length) {
		return Reply{}, KindTrailingData, errTrailingData
	}
	return Reply{Status: resp.StatusCode(), Body: body}, 0, nil
}
