package framing

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/memory"
)

// Lengths of a body that fasthttp reports without a Content-Length.
const (
	lengthChunked  = -1
	lengthUntilEnd = -2
)

const (
	// maxInterim bounds the interim replies before a reply.
	maxInterim = 8

	// directBytes is the size up to which a body is read into a buffer of its full length. A
	// longer one may never come, so its buffer grows with what arrives.
	directBytes = 64 << 10

	// firstBytes is the first size of a buffer for a body of unknown length.
	firstBytes = 512

	// freeBytes is the size up to which a buffer is not reserved. The read buffer of a
	// connection takes as much anyway.
	freeBytes = 16 << 10

	// memoryFactor is the memory that a growing buffer takes for each of its bytes: the smaller
	// ones that were copied to it are freed later.
	memoryFactor = 3

	// memoryStep is by how much the memory of one reply grows at a time.
	memoryStep = 64 << 10
)

// Errors of a reply that is not complete, or not acceptable.
var (
	ErrTooLarge     = errors.New("reply is too large")
	ErrHeadTooLarge = errors.New("head of the reply is too large")
	ErrSwitching    = errors.New("reply switches the protocol, which the request did not ask for")
	errInterim      = errors.New("too many interim replies")
)

// Reader reads the replies on one connection. It is not safe for concurrent use.
type Reader struct {
	br        *bufio.Reader
	head      fasthttp.ResponseHeader
	headBytes int
	bodyBytes int
	memory    memory.Reservation // for the current reply
	headSize  int64              // size of a larger buffer for its head
	noBody    bool               // whatever its head says of a length
	left      int                // bytes that were read after the reply
}

// NewReader returns a Reader with a buffer of size bytes. Its replies have heads of up to
// headBytes and bodies of up to bodyBytes. What they take beyond small buffers is reserved from
// bound, which may be nil.
func NewReader(r io.Reader, size, headBytes, bodyBytes int, bound *memory.Bound) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, size), headBytes: headBytes, bodyBytes: bodyBytes, memory: memory.NewReservation(bound)}
}

// Wait waits for the first byte of a reply.
func (r *Reader) Wait() error {
	_, err := r.br.Peek(1)
	return err
}

// Read reads a reply and returns its body. skipBody is set if the request was one whose reply
// has no body whatever its head says. The memory stays reserved until Release. A reply that
// ends early, with the connection, is io.ErrUnexpectedEOF.
func (r *Reader) Read(skipBody bool) ([]byte, error) {
	br, err := r.readHead()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if r.head.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return nil, ErrSwitching
	}
	var body []byte
	r.noBody = skipBody || hasNoBody(r.head.StatusCode())
	if !r.noBody {
		if body, err = r.readBody(br); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	r.left = r.br.Buffered()
	if br != r.br {
		r.left += br.Buffered()
	}
	return body, nil
}

// Head returns the head of the last reply. It is valid until the next call of Read.
func (r *Reader) Head() *fasthttp.ResponseHeader { return &r.head }

// Left returns the bytes after the last reply that were read with it.
func (r *Reader) Left() int { return r.left }

// EndsConnection reports whether the connection cannot carry a reply after the last one.
func (r *Reader) EndsConnection() bool {
	untilEnd := !r.noBody && r.head.ContentLength() <= lengthUntilEnd
	return r.left > 0 || untilEnd || r.head.ConnectionClose()
}

// Release releases the memory of the last reply.
func (r *Reader) Release() {
	r.memory.Release()
	r.headSize = 0
}

// readHead reads the head of a reply and returns the reader of its body.
func (r *Reader) readHead() (*bufio.Reader, error) {
	br := r.br
	for n := 0; ; n++ {
		err := r.readOneHead(br)
		if isTooSmall(err) && br == r.br {
			if br, err = r.largeReader(); err == nil {
				err = r.readOneHead(br)
			}
		}
		switch {
		case isTooSmall(err):
			return nil, ErrHeadTooLarge
		case err != nil:
			return nil, err
		case !isInterim(r.head.StatusCode()):
			return br, nil
		case n == maxInterim:
			return nil, errInterim
		}
	}
}

// readOneHead reads the head of a reply, which may be an interim one.
func (r *Reader) readOneHead(br *bufio.Reader) error {
	start, err := br.Peek(statusEnd)
	if err != nil {
		return err
	}
	if err := checkStatus(start); err != nil {
		return err
	}
	if err := checkFields(br); err != nil {
		return err
	}
	return r.head.Read(br)
}

// isTooSmall reports whether a head does not fit into the buffer of its reader.
func isTooSmall(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small) || errors.Is(err, bufio.ErrBufferFull)
}

// largeReader returns a reader for a head that does not fit into the buffer of the connection.
func (r *Reader) largeReader() (*bufio.Reader, error) {
	if r.headBytes <= r.br.Size() {
		return nil, ErrHeadTooLarge
	}
	r.headSize = int64(r.headBytes)
	if !r.reserve(0) {
		return nil, memory.ErrExceeded
	}
	return bufio.NewReaderSize(r.br, r.headBytes), nil
}

// reserve reserves the memory of the current reply with a buffer of size bytes.
func (r *Reader) reserve(size int) bool {
	return r.memory.GrowTo(memoryFactor*max(int64(size-freeBytes), 0)+r.headSize, memoryStep)
}

func (r *Reader) readBody(br *bufio.Reader) ([]byte, error) {
	length := r.head.ContentLength()
	switch {
	case length > r.bodyBytes:
		return nil, ErrTooLarge
	case length >= 0 && length <= directBytes:
		body := make([]byte, length)
		_, err := io.ReadFull(br, body)
		return body, err
	case length >= 0:
		body, err := r.readAll(io.LimitReader(br, int64(length)), directBytes, length)
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	case length == lengthChunked:
		body, err := r.readAll(httputil.NewChunkedReader(br), firstBytes, r.bodyBytes)
		if err != nil {
			return nil, err
		}
		return body, r.head.ReadTrailer(br)
	default:
		return r.readAll(br, firstBytes, r.bodyBytes)
	}
}

// readAll reads up to the end of in, at most most bytes, into a buffer that begins with first
// bytes and grows with what arrives.
func (r *Reader) readAll(in io.Reader, first, most int) ([]byte, error) {
	body := make([]byte, 0, min(first, most))
	for {
		if len(body) == cap(body) {
			var next [1]byte
			if n, err := io.ReadFull(in, next[:]); n == 0 {
				return body, ignoreEOF(err)
			}
			if len(body) == most {
				return nil, ErrTooLarge
			}
			size := min(max(2*cap(body), 1), most)
			if !r.reserve(size) {
				return nil, memory.ErrExceeded
			}
			body = append(append(make([]byte, 0, size), body...), next[0])
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, ignoreEOF(err)
		}
	}
}

func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != fasthttp.StatusSwitchingProtocols
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// unexpectedEOF turns the end of a connection within a reply into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
