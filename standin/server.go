package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// relistenTimeout bounds how long a server retries to listen on its port when the
// down fault ends, as the port may still be in use.
const relistenTimeout = 2 * time.Second

// maxRequestBytes bounds a request body. It fits a value of MaxValueBytes in base64.
const maxRequestBytes = 8 << 20

// idleWorkerTimeout bounds how long fasthttp's idle workers run after Close.
const idleWorkerTimeout = time.Second

// server is common to all fake services: an address, its connections, and the
// faults of connections and calls.
type server struct {
	parent        context.Context
	ctx           context.Context // cancelled with parent or by Close
	cancel        context.CancelFunc
	stopAfterFunc func() bool // unregisters the call of Close on the end of parent
	handler       fasthttp.RequestHandler
	address       string
	handlers      sync.WaitGroup // handlers that are running

	stateMu  sync.Mutex // held while the server stops or starts listening, or closes
	serveErr chan error // receives the error of the serving goroutine; nil while down
	listener net.Listener

	mu        sync.Mutex
	connLimit int // maximum of open connections; 0 for no limit
	setupTime time.Duration
	callDelay time.Duration // added to every call
	down      bool
	closed    bool
	conns     map[*conn]struct{}
	opened    int
	peak      int
	refused   int
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func newServer(ctx context.Context, address string) *server {
	s := &server{parent: ctx, address: address, conns: make(map[*conn]struct{}), stopAfterFunc: func() bool { return true }}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// start listens on the address and serves handler in a goroutine.
func (s *server) start(handler fasthttp.RequestHandler) error {
	s.handler = handler
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		s.cancel()
		return &Error{op: "start", kind: KindListen, err: err}
	}
	s.address = ln.Addr().String()
	s.serve(ln)
	s.stopAfterFunc = context.AfterFunc(s.parent, func() { _ = s.Close() })
	return nil
}

func (s *server) serve(ln net.Listener) {
	s.listener, s.serveErr = ln, make(chan error, 1)
	srv := &fasthttp.Server{
		Handler:               s.handle,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestBytes,
		MaxIdleWorkerDuration: idleWorkerTimeout,
	}
	go func(serveErr chan<- error) { serveErr <- srv.Serve(&limitListener{Listener: ln, srv: s}) }(s.serveErr)
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if !s.beginHandler() {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer s.handlers.Done()
	s.mu.Lock()
	slow := s.callDelay
	s.mu.Unlock()
	if slow > 0 {
		s.sleep(slow, nil)
	}
	s.handler(ctx)
}

// beginHandler registers a running handler. It returns false if the server is closing.
func (s *server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.handlers.Add(1)
	return true
}

// sleep waits for d. It returns false if stop was closed or the server ended first.
func (s *server) sleep(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-s.ctx.Done():
		return false
	}
}

// setDown stops listening and closes all connections, or listens again on the
// same address.
func (s *server) setDown(down bool) error {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.mu.Lock()
	unchanged := s.closed || s.down == down
	s.mu.Unlock()
	if unchanged {
		return nil
	}
	if down {
		s.setFlag(&s.down, true)
		return s.stopServing()
	}
	ln, err := s.relisten()
	if err != nil {
		return &Error{op: "listen again", kind: KindListen, err: err}
	}
	s.setFlag(&s.down, false)
	s.serve(ln)
	return nil
}

func (s *server) setFlag(flag *bool, v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = v
}

func (s *server) relisten() (net.Listener, error) {
	deadline := time.Now().Add(relistenTimeout)
	for {
		ln, err := net.Listen("tcp", s.address)
		if err == nil || time.Now().After(deadline) || !s.sleep(10*time.Millisecond, nil) {
			return ln, err
		}
	}
}

// stopServing closes the listener and all connections and waits for the serving
// goroutine.
func (s *server) stopServing() error {
	if s.serveErr == nil {
		return nil
	}
	_ = s.listener.Close()
	s.closeConns()
	err := <-s.serveErr
	s.serveErr = nil
	s.closeConns() // those accepted before the listener was closed
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *server) closeConns() {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Close stops the server and waits until its goroutines and handlers end.
func (s *server) Close() error {
	s.stopAfterFunc()
	s.cancel()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.setFlag(&s.closed, true)
	err := s.stopServing()
	s.handlers.Wait()
	return err
}
