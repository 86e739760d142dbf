package exchange

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Headers holds the names of the headers that upstreams and this VM exchange.
type Headers struct {
	RequestID      string // echoed in the reply
	DeadlineMs     string // remaining time in milliseconds
	ExpectInstance string // ID of the upstream that must handle the request
	Receipt        string // identifies the upstream and the request that it answered
	NotRun         string // present if the upstream did not execute the request
	Leaving        string // present with the value 1 if the upstream is leaving
	Customer       string // name of the caller's customer, set by this VM only
}

// Request is a request to forward. It is immutable, so that several attempts can share
// it.
type Request struct {
	id          string
	head        []byte // request line and headers, without the final empty line
	body        []byte
	noReplyBody bool // the reply has no body
}

// Field is a header field.
type Field struct{ Name, Value string }

// NewRequest returns a request. The URI is sent unchanged. fields must hold neither
// hop-by-hop headers nor headers that this VM sets itself.
func NewRequest(h Headers, method, uri, host, id string, fields []Field, body []byte) *Request {
	var head fasthttp.RequestHeader
	head.DisableNormalizing()
	head.SetNoDefaultContentType(true)
	head.SetMethod(method)
	head.SetRequestURI(uri)
	head.SetHost(host)
	for _, f := range fields {
		head.Add(f.Name, f.Value)
	}
	head.Set(h.RequestID, id)
	if len(body) > 0 || method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch {
		head.SetContentLength(len(body))
	}
	raw := head.Header()
	const emptyLine = 2
	raw = raw[:len(raw)-emptyLine]
	return &Request{
		id: id, head: append([]byte(nil), raw...), body: body, noReplyBody: method == fasthttp.MethodHead,
	}
}

// NewDelegatedRequest returns a request that another VM built with NewRequest and
// delegated to this one.
func NewDelegatedRequest(id string, head, body []byte) *Request {
	return &Request{id: id, head: head, body: body, noReplyBody: bytes.HasPrefix(head, []byte(fasthttp.MethodHead+" "))}
}

// Head returns the request line and the headers. The caller must not modify them.
func (r *Request) Head() []byte { return r.head }

// Body returns the body. The caller must not modify it.
func (r *Request) Body() []byte { return r.body }

// appendTo appends the wire form of the request for one upstream to b.
func (r *Request) appendTo(b []byte, h Headers, c *Call) []byte {
	b = append(b, r.head...)
	b = appendField(b, h.ExpectInstance, c.Upstream)
	if c.Customer != "" {
		b = appendField(b, h.Customer, c.Customer)
	}
	b = append(b, h.DeadlineMs...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, int64(c.RemainingMs), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
