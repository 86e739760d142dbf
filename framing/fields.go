package framing

import (
	"bufio"
	"bytes"
	"errors"
)

var (
	headEnd          = []byte("\r\n\r\n")
	transferEncoding = []byte("transfer-encoding")
	contentLength    = []byte("content-length")
)

// ErrFraming reports a head whose fields contradict each other about the end of the reply.
var ErrFraming = errors.New("reply does not say where it ends")

// checkFields returns an error if the fields of the head that comes next state a transfer coding
// beside a length, or in a version that knows none (RFC 9112, 6.1). fasthttp ignores one of the
// two, and would pass the coding on as data. Nothing is consumed.
func checkFields(br *bufio.Reader) error {
	head, err := peekHead(br)
	if err != nil {
		return err
	}
	coded, sized := false, false
	for len(head) > 0 {
		line := head
		if i := bytes.IndexByte(head, '\n'); i >= 0 {
			line, head = head[:i], head[i+1:]
		} else {
			head = nil
		}
		if len(line) == 0 || line[0]|' ' != 't' && line[0]|' ' != 'c' {
			continue // starts neither field
		}
		name, _, isField := bytes.Cut(line, []byte(":"))
		if !isField {
			continue
		}
		trimmed := bytes.TrimSpace(name)
		isCoding, isLength := bytes.EqualFold(trimmed, transferEncoding), bytes.EqualFold(trimmed, contentLength)
		if (isCoding || isLength) && len(trimmed) < len(name) {
			return ErrFraming // others take it for another field
		}
		coded, sized = coded || isCoding, sized || isLength
	}
	if coded && (sized || isHTTP10(br)) {
		return ErrFraming
	}
	return nil
}

// isHTTP10 reports whether the reply that comes next is of HTTP/1.0.
func isHTTP10(br *bufio.Reader) bool {
	start, err := br.Peek(len(http10))
	return err == nil && bytes.Equal(start, http10)
}

// peekHead returns the head that comes next, without its empty line. It fails with
// bufio.ErrBufferFull if the head does not fit into the buffer.
func peekHead(br *bufio.Reader) ([]byte, error) {
	for n := statusEnd; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return nil, err
		}
		head, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.Index(head, headEnd); end >= 0 {
			return head[:end], nil
		}
	}
}
