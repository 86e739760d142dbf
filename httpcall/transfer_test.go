package httpcall_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentillink.example/lentillink/httpcall"
)

// TestTransfer guards against a long reply on a slow link that is given up while it arrives, and
// against one that stalls, or never ends, and is waited for.
func TestTransfer(t *testing.T) {
	const (
		timeout  = 200 * time.Millisecond
		transfer = 1500 * time.Millisecond
		interval = 50 * time.Millisecond
		part     = 1000
		slack    = time.Second
	)
	for _, tt := range []struct {
		name  string
		parts int // sent at intervals
		last  time.Duration
		want  bool
	}{
		{"slow", 10, timeout, true},
		{"stalls", 4, time.Second, false},
		{"never ends", 40, transfer, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			t.Cleanup(func() { _ = lis.Close(); <-ended })
			go func() {
				defer close(ended)
				nc, err := lis.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_, _ = nc.Read(make([]byte, 1000))
				_, err = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range tt.parts {
					time.Sleep(interval)
					if err == nil {
						_, err = io.WriteString(nc, "3e8\r\n"+strings.Repeat("x", part)+"\r\n")
					}
				}
				if tt.want && err == nil {
					_, _ = io.WriteString(nc, "0\r\n\r\n")
				}
				_, _ = nc.Read(make([]byte, 1)) // until the call has ended
			}()
			h := newHost(t, lis.Addr().String())
			startedAt := time.Now()
			reply, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodGet, Path: "/x", Timeout: timeout, TransferTimeout: transfer}, nil)
			if tt.want && (err != nil || len(reply.Body) != 10*part) {
				t.Errorf("got %d bytes, %v, want %d bytes", len(reply.Body), err, 10*part)
			}
			var callErr *httpcall.Error
			if !tt.want && (!errors.As(err, &callErr) || callErr.Kind() != httpcall.KindTimeout) {
				t.Errorf("got %v, want kind timeout", err)
			}
			if took := time.Since(startedAt); took > time.Duration(tt.parts)*interval+tt.last+slack && tt.name != "never ends" || took > transfer+slack {
				t.Errorf("got an end after %s, want it %s after the last part", took, tt.last)
			}
		})
	}
}
