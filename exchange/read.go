package exchange

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/httpcall"
)

// Lengths of a body that fasthttp reports without a Content-Length.
const (
	lengthChunked  = -1
	lengthUntilEnd = -2 // the body ends with the connection
)

// maxInterim bounds the interim replies before a reply.
const maxInterim = 8

// directBytes is the size up to which a body is read into a buffer of its full length. A
// longer one may never come, so its buffer grows with what arrives.
const directBytes = 64 << 10

var errInterim = errors.New("too many interim replies")

// readReply reads a reply into h. It returns the body, and how many bytes after the reply were
// read.
func (cn *conn) readReply(in *replyReader, br *bufio.Reader, h *fasthttp.ResponseHeader, skipBody bool) (body []byte, left int, err error) {
	r := br
	for n := 0; ; n++ {
		start, err := r.Peek(httpcall.StatusEnd)
		if err != nil {
			return nil, 0, unexpectedEOF(err)
		}
		if err := httpcall.CheckStatus(start); err != nil {
			return nil, 0, err
		}
		err = h.Read(r)
		if isTooSmall(err) && r == br {
			if r, err = cn.largeReader(in, br); err == nil {
				err = h.Read(r)
			}
		}
		if isTooSmall(err) {
			err = errHeadTooLarge
		}
		if err != nil {
			return nil, 0, err
		}
		if !isInterim(h.StatusCode()) {
			break
		}
		if n == maxInterim {
			return nil, 0, errInterim
		}
	}
	if !skipBody && !hasNoBody(h.StatusCode()) {
		if body, err = readBody(r, h, cn.client.maxReplyBytes); err != nil {
			return nil, 0, err
		}
	}
	left = br.Buffered()
	if r != br {
		left += r.Buffered()
	}
	return body, left, nil
}

func isTooSmall(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

// largeReader returns a reader for a head that does not fit into the buffer of a connection.
// Its memory counts as part of the reply.
func (cn *conn) largeReader(in *replyReader, br *bufio.Reader) (*bufio.Reader, error) {
	size := cn.client.maxHeadBytes
	if size <= br.Size() {
		return nil, errHeadTooLarge
	}
	in.buffered = size
	if !in.reserve() {
		return nil, errNoMemory
	}
	return bufio.NewReaderSize(br, size), nil
}

// readBody reads the body of a reply. It replaces the reader of fasthttp, whose pool keeps
// large buffers and hands them to small replies.
func readBody(br *bufio.Reader, h *fasthttp.ResponseHeader, maxBytes int) ([]byte, error) {
	length := h.ContentLength()
	switch {
	case length > maxBytes:
		return nil, errTooLarge
	case length >= 0 && length <= directBytes:
		body := make([]byte, length)
		if _, err := io.ReadFull(br, body); err != nil {
			return nil, unexpectedEOF(err)
		}
		return body, nil
	case length >= 0:
		body, err := io.ReadAll(io.LimitReader(br, int64(length)))
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	case length == lengthChunked:
		body, err := readAll(httputil.NewChunkedReader(br), maxBytes)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		return body, unexpectedEOF(h.ReadTrailer(br))
	default:
		return readAll(br, maxBytes)
	}
}

func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != fasthttp.StatusSwitchingProtocols
}

func hasNoBody(status int) bool {
	return status < 200 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readAll reads up to maxBytes. It fails if there are more.
func readAll(r io.Reader, maxBytes int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		err = errTooLarge
	}
	return body, err
}

// unexpectedEOF turns the end of a connection within a reply into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
