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

// TestStatus guards against a reply that an upstream in trouble sends with a status that is
// none, and that reaches the caller as an answer: only three digits from 100 on are a status.
func TestStatus(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, line string
		before     string // an interim reply
		want       int    // 0 if it is no reply
		ends       bool   // whether the upstream closes the connection
	}{
		{name: "success", line: "HTTP/1.1 200 OK", want: 200},
		{name: "no reason", line: "HTTP/1.1 200", want: 200},
		{name: "empty reason", line: "HTTP/1.1 204 ", want: 204},
		{name: "of no class", line: "HTTP/1.1 999 Odd", want: 999},
		{name: "older version", line: "HTTP/1.0 200 OK", want: 200},
		{name: "000", line: "HTTP/1.1 000 OK"},
		{name: "000 without a reason", line: "HTTP/1.1 000"},
		{name: "007", line: "HTTP/1.1 007 OK"},
		{name: "099", line: "HTTP/1.1 099 OK"},
		{name: "two digits", line: "HTTP/1.1 20 OK"},
		{name: "two digits and a blank", line: "HTTP/1.1 20  OK"},
		{name: "four digits", line: "HTTP/1.1 2000 OK"},
		{name: "1000", line: "HTTP/1.1 1000 OK"},
		{name: "plus", line: "HTTP/1.1 +200 OK"},
		{name: "plus and two digits", line: "HTTP/1.1 +20 OK"},
		{name: "minus", line: "HTTP/1.1 -20 OK"},
		{name: "blank between digits", line: "HTTP/1.1 2 0 OK"},
		{name: "letter", line: "HTTP/1.1 2O0 OK"},
		{name: "tab after it", line: "HTTP/1.1 200\tOK"},
		{name: "two blanks before it", line: "HTTP/1.1  200 OK"},
		{name: "000 after two blanks", line: "HTTP/1.1  000 OK"},
		{name: "only a reason", line: "HTTP/1.1 OK"},
		{name: "only blanks", line: "HTTP/1.1    "},
		{name: "none", line: "HTTP/1.1"},
		{name: "success after an empty line", line: "\r\nHTTP/1.1 200 OK"},
		{name: "000 after an empty line", line: "\r\nHTTP/1.1 000 OK"},
		{name: "000 after an interim reply", before: "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n", line: "HTTP/1.1 000 OK"},
		{name: "success after an interim reply", before: "HTTP/1.1 100 Continue\r\n\r\n", line: "HTTP/1.1 200 OK", want: 200},
		{name: "success after an interim reply of no name", before: "HTTP/1.1 199 Odd\r\n\r\n", line: "HTTP/1.1 200 OK", want: 200},
		{name: "interim reply that is none", before: "HTTP/1.1 000 Continue\r\n\r\n", line: "HTTP/1.1 200 OK"},
		{name: "only an interim reply", line: "HTTP/1.1 100 Continue", ends: true},
		{name: "another protocol", line: "HTTP/1.1 101 Switching Protocols"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			head, rest, _ := strings.Cut(final, "\r\n")
			u := startRaw(t, func(w io.Writer, id string, _ int) bool {
				line := tt.line
				if id == "next" {
					line = head
				}
				_, err := fmt.Fprintf(w, tt.before+line+"\r\n"+rest, id)
				return err == nil && !tt.ends
			})
			c, results := newClient(t)
			send(c, u, 1, "first")
			res := nextResult(t, results)
			if tt.want != 0 {
				if res.Err != nil || res.Reply.Status != tt.want {
					t.Errorf("got status %d, %v, want %d", res.Reply.Status, res.Err, tt.want)
				}
				return
			}
			if res.Err == nil {
				t.Fatalf("got status %d with %q, want no reply", res.Reply.Status, res.Reply.Body)
			}
			if !res.Err.Kind().MaybeSent() {
				t.Errorf("got %s, want a kind that may have been sent", res.Err.Kind())
			}
			send(c, u, 2, "next")
			nextResult(t, results)
			if conns, _ := u.counts(); conns != 2 {
				t.Errorf("got %d connections after a reply that is none, want a new one", conns)
			}
		})
	}
}
