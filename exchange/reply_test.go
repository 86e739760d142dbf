package exchange_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lentillink.example/lentillink/exchange"
)

// TestCutReply guards against a reply that ends early, with the connection, and that is
// taken for a whole one: it would reach the caller with an empty or short body.
func TestCutReply(t *testing.T) {
	replies := map[string]string{
		"length last":        "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nContent-Length: 20\r\n\r\n",
		"length first":       "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nRequest: %s\r\nReceipt: x.%[1]s\r\n\r\n",
		"chunked":            "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until the end":      "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nConnection: close\r\n\r\n",
		"line feeds":         "HTTP/1.1 200 OK\nRequest: %s\nReceipt: x.%[1]s\nContent-Length: 20\n\n",
		"empty":              "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nContent-Length: 0\r\n\r\n",
		"after an interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nContent-Length: 20\r\n\r\n",
		"no content":         "HTTP/1.1 204 No Content\r\nRequest: %s\r\nReceipt: x.%[1]s\r\n\r\n",
		"not run":            "HTTP/1.1 503 Full\r\nRequest: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with a body":        "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nContent-Length: 5\r\n\r\nhello",
		"in chunks":          "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"with a trailer":     "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nNote: n\r\n\r\n",
		"with a long header": "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x.%[1]s\r\nNote: " + strings.Repeat("n", 200) + "\r\nContent-Length: 20\r\n\r\n",
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const id = "id-7"
			whole := fmt.Sprintf(reply, id)
			var at atomic.Int64
			u := startRaw(t, func(w io.Writer, _ string, _ int) bool {
				_, _ = io.WriteString(w, whole[:at.Load()])
				return false
			})
			c, results := newClient(t)
			for cut := range len(whole) {
				at.Store(int64(cut))
				send(c, u, uint64(cut+1), id)
				res := nextResult(t, results)
				if res.Err == nil {
					t.Errorf("cut after %q: got status %d, receipt %q and %d bytes, want an error", whole[:cut], res.Reply.Status, res.Reply.Receipt, len(res.Reply.Body))
					continue
				}
				if kind := res.Err.Kind(); cut > 0 && !kind.MaybeSent() {
					t.Errorf("cut after %d bytes: got %s, want a kind that may have been sent", cut, kind)
				}
			}
		})
	}
}

// TestSuccessWithoutReceipt guards against a success that no upstream has given: the rest of
// the head was lost, or another server has the address.
func TestSuccessWithoutReceipt(t *testing.T) {
	for _, tt := range []struct {
		name, reply string
		want        bool // whether it is a reply
	}{
		{"success with a receipt", "HTTP/1.1 200 OK\r\nRequest: r\r\nReceipt: x\r\nContent-Length: 2\r\n\r\nok", true},
		{"success", "HTTP/1.1 200 OK\r\nRequest: r\r\nContent-Length: 2\r\n\r\nok", false},
		{"of another server", "HTTP/1.1 200 OK\r\n\r\nwelcome", false},
		{"without content", "HTTP/1.1 204 No Content\r\nRequest: r\r\n\r\n", false},
		{"failure", "HTTP/1.1 500 Failed\r\nRequest: r\r\nContent-Length: 0\r\n\r\n", true},
		{"not run", "HTTP/1.1 503 Full\r\nRequest: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := startRaw(t, func(w io.Writer, _ string, _ int) bool {
				_, _ = io.WriteString(w, tt.reply)
				return false
			})
			c, results := newClient(t)
			send(c, u, 1, "r")
			res := nextResult(t, results)
			if got := res.Err == nil; got != tt.want {
				t.Errorf("got reply %t with %q, want %t", got, res.Reply.Body, tt.want)
			}
			if res.Err != nil && !res.Err.Kind().MaybeSent() {
				t.Errorf("got %s, want a kind that may have been sent", res.Err.Kind())
			}
		})
	}
}

// TestDelegatedHead guards against a carrier that waits for the body of a reply that has
// none, because it does not know the method of the request.
func TestDelegatedHead(t *testing.T) {
	u := startRaw(t, func(w io.Writer, _ string, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nRequest: r\r\nReceipt: x\r\nContent-Length: 20\r\n\r\n")
		return true
	})
	c, results := newClient(t)
	whole := exchange.NewRequest(headers, http.MethodHead, "/p", "h", "r", nil, nil)
	c.Send(exchange.Call{
		Attempt: 1, Upstream: "u", Address: u.lis.Addr().String(), RemainingMs: 100,
		Request: exchange.NewDelegatedRequest("r", whole.Head(), nil),
	})
	select {
	case res := <-results:
		if res.Err != nil || res.Reply.Status != http.StatusOK {
			t.Errorf("got status %d, %v, want 200", res.Reply.Status, res.Err)
		}
	case <-time.After(2 * time.Second):
		t.Error("got no result, want a reply")
	}
}
