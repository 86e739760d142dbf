package kit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentillink.example/lentillink/clock"
)

// isReady asks a VM as the platform does.
func (v *VM) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, ID string
	DeadlineMs             int
	Body                   string
}

// Response is what a client has got. Status is 0 if there was no complete answer.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	SentAt  clock.Millis
	EndedAt clock.Millis
	Err     error
}

// Do sends a request to a VM on a new connection, and waits for the answer until half a
// second after the client's deadline.
func (r *Run) Do(v *VM, req Request) Response {
	resp := Response{SentAt: r.Now()}
	resp.Status, resp.Header, resp.Body, resp.Err = exchangeOnce(v.Callers, req)
	resp.EndedAt = r.Now()
	return resp
}

// Wire returns the bytes of a request.
func (q Request) Wire() string {
	length := ""
	if q.Body != "" {
		length = "Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		q.Method, q.Path, q.Host, q.ID, q.DeadlineMs, length, q.Body)
}

// exchangeOnce sends a request on a new connection and reads the answer.
func exchangeOnce(address string, q Request) (int, http.Header, []byte, error) {
	nc, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", address)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = nc.Close() }()
	limit := time.AfterFunc(time.Duration(q.DeadlineMs+500)*time.Millisecond, func() { _ = nc.Close() })
	defer limit.Stop()
	if _, err := io.WriteString(nc, q.Wire()); err != nil {
		return 0, nil, nil, err
	}
	return ReadResponse(bufio.NewReader(nc), q.Method)
}

// ReadResponse reads one response.
func ReadResponse(br *bufio.Reader, method string) (int, http.Header, []byte, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return 0, nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return 0, nil, nil, err
	}
	return resp.StatusCode, resp.Header, body, nil
}

// List returns the elements of a header whose values are separated by commas.
func List(h http.Header, name string) []string {
	var out []string
	for _, line := range h.Values(name) {
		for _, e := range strings.Split(line, ",") {
			if e = strings.TrimSpace(e); e != "" {
				out = append(out, e)
			}
		}
	}
	return out
}
