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

// readReply reads a reply into h and returns its body. It replaces the reader of fasthttp,
// whose pool keeps large buffers and hands them to small replies.
func readReply(br *bufio.Reader, h *fasthttp.ResponseHeader, skipBody bool, maxBytes int) ([]byte, error) {
	for n := 0; ; n++ {
		start, err := br.Peek(httpcall.StatusEnd)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if err := httpcall.CheckStatus(start); err != nil {
			return nil, err
		}
		if err := h.Read(br); err != nil {
			return nil, err
		}
		if !isInterim(h.StatusCode()) {
			break
		}
		if n == maxInterim {
			return nil, errInterim
		}
	}
	if skipBody || hasNoBody(h.StatusCode()) {
		return nil, nil
	}
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
