package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// maxPlainBytes is the size up to which the store knows the length of an answer before it
// sends the first byte. A longer one it sends in chunks.
const maxPlainBytes = 16 << 10

// storeProxy passes calls on to the platform's store. It can cut the watches that wait.
type storeProxy struct {
	server *httptest.Server
	target string

	longestWatch time.Duration // after which a waiting watch is cut; 0 for none
	cuts         atomic.Int64

	mu      sync.Mutex
	waiting map[*http.Request]context.CancelFunc
}

func newStoreProxy(target string) *storeProxy {
	p := &storeProxy{target: target, waiting: make(map[*http.Request]context.CancelFunc)}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	return p
}

func (p *storeProxy) address() string { return p.server.Listener.Addr().String() }

func (p *storeProxy) close() {
	p.server.CloseClientConnections()
	p.server.Close()
}

func (p *storeProxy) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if r.URL.Path == "/kv-watch" {
		if p.longestWatch > 0 {
			defer time.AfterFunc(p.longestWatch, func() {
				p.cuts.Add(1)
				cancel()
			}).Stop()
		}
		p.mu.Lock()
		p.waiting[r] = cancel
		p.mu.Unlock()
		defer func() {
			p.mu.Lock()
			delete(p.waiting, r)
			p.mu.Unlock()
		}()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+p.target+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.Header = r.Header
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	if len(body) > maxPlainBytes {
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
}

// cutWatches cuts the watches that wait and returns their number.
func (p *storeProxy) cutWatches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cancel := range p.waiting {
		cancel()
	}
	return len(p.waiting)
}
