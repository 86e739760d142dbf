package caller_test

import (
	"net"
	"testing"
	"time"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/platform/standin"
)

// TestEndlessAnswer guards against a command that reads an answer without end until its
// memory is used up.
func TestEndlessAnswer(t *testing.T) {
	const waitLimit = 20 * time.Second
	for _, tt := range []struct {
		name  string
		reply standin.EndlessReply
	}{
		{"head", standin.EndlessReply{Start: "HTTP/1.1 200 OK\r\nA: ", Text: "x"}},
		{"interim replies", standin.EndlessReply{Text: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"body", standin.EndlessReply{Start: "HTTP/1.1 200 OK\r\n\r\n", Text: "x"}},
		{"chunks", standin.EndlessReply{Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Text: "1000\r\n" + string(make([]byte, 4096)) + "\r\n"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			go standin.ServeEndlessly(lis, tt.reply)
			c := caller.New(lis.Addr().String(), caller.WithTimeout(clock.Minute))
			ended := make(chan error, 1)
			go func() {
				_, err := c.Status()
				ended <- err
			}()
			select {
			case err := <-ended:
				if err == nil {
					t.Error("got an answer, want an error")
				}
			case <-time.After(waitLimit):
				t.Errorf("the answer is still read after %s", waitLimit)
			}
		})
	}
}
