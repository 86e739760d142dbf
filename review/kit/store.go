package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/platform/standin"
)

// pageItems is the number of items in a page of a range read: the pages allow about 500,
// the site file of kukkahaku has 50.
const pageItems = 50

// Front stands before the project's stand-in of the store. It adds what the pages say of
// range reads and watches: pages, stale reads from replicas that lag, and waiting watches
// that are cut.
type Front struct {
	store  *standin.Store
	server *httptest.Server
	run    *Run

	mu      sync.Mutex
	lags    []clock.Millis // of the replicas that serve stale reads in turn
	next    int
	states  []state // what the replicas have seen, oldest first
	watches map[int]context.CancelFunc
	watchNo int
}

// state is the content of the store at one time.
type state struct {
	at       clock.Millis
	revision uint64
	items    []json.RawMessage // in the order of their keys
	keys     []string
}

// NewFront starts a front of a store. lags are the ages of the replicas that serve stale
// reads in turn; without any, stale reads are current.
func (r *Run) NewFront(store *standin.Store, lags ...clock.Millis) *Front {
	f := &Front{store: store, run: r, lags: lags, watches: make(map[int]context.CancelFunc)}
	target := &url.URL{Scheme: "http", Host: store.Address()}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	mux := http.NewServeMux()
	mux.Handle("/", proxy)
	mux.HandleFunc("GET /kv-range", f.serveRange)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, req *http.Request) { f.serveWatch(proxy, w, req) })
	f.server = httptest.NewServer(mux)
	return f
}

// Address returns the address of the store for the VMs.
func (f *Front) Address() string { return f.server.Listener.Addr().String() }

// Close stops the front.
func (f *Front) Close() {
	f.server.CloseClientConnections()
	f.server.Close()
}

// observeInterval is the time between two states that the replicas see.
const observeInterval = 50 * time.Millisecond

// Observe adds the content of the store to what the replicas have seen, again and again
// until ctx is cancelled.
func (f *Front) Observe(ctx context.Context) {
	for ; ctx.Err() == nil; Sleep(observeInterval) {
		s, err := f.read()
		if err != nil {
			f.run.Logf("store: %v", err)
			continue
		}
		f.mu.Lock()
		f.states = append(f.states, s)
		f.mu.Unlock()
	}
}

// read reads the whole store.
func (f *Front) read() (state, error) {
	s := state{at: f.run.Now()}
	after := ""
	for {
		resp, err := http.Get("http://" + f.store.Address() + "/kv-range?" + url.Values{"prefix": {""}, "after": {after}}.Encode())
		if err != nil {
			return s, err
		}
		var page struct {
			Items         []json.RawMessage `json:"items"`
			Truncated     bool              `json:"truncated"`
			StoreRevision uint64            `json:"store-revision"`
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			err = json.Unmarshal(data, &page)
		}
		if err != nil {
			return s, err
		}
		s.revision = page.StoreRevision
		for _, raw := range page.Items {
			var it struct {
				Key string `json:"key"`
			}
			if err := json.Unmarshal(raw, &it); err != nil {
				return s, err
			}
			s.items, s.keys = append(s.items, raw), append(s.keys, it.Key)
			after = it.Key
		}
		if !page.Truncated {
			return s, nil
		}
	}
}

// replica returns the state that the next replica has, and its lag.
func (f *Front) replica() (state, clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lags) == 0 {
		return state{}, 0, false
	}
	lag := f.lags[f.next%len(f.lags)]
	f.next++
	limit := f.run.Now() - lag
	i := sort.Search(len(f.states), func(i int) bool { return f.states[i].at > limit })
	if i == 0 {
		return state{}, 0, false
	}
	return f.states[i-1], lag, true
}

func (f *Front) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var s state
	lag, isStale := clock.Millis(0), false
	if query.Get("stale-ok") == "1" {
		s, lag, isStale = f.replica()
	}
	if !isStale {
		var err error
		if s, err = f.read(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	from := sort.SearchStrings(s.keys, query.Get("after"))
	if from < len(s.keys) && s.keys[from] == query.Get("after") {
		from++
	}
	to := min(from+pageItems, len(s.keys))
	page := map[string]any{"items": s.items[from:to], "truncated": to < len(s.keys), "store-revision": s.revision}
	data, err := json.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	f.run.Logf("store: range after %q from %s: %d items of revision %d, stale %v, lag %d ms", query.Get("after"), r.RemoteAddr, to-from, s.revision, isStale, lag)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (f *Front) serveWatch(proxy http.Handler, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	f.mu.Lock()
	f.watchNo++
	id := f.watchNo
	f.watches[id] = cancel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.watches, id)
		f.mu.Unlock()
		cancel()
	}()
	proxy.ServeHTTP(w, r.WithContext(ctx))
}

// CutWatches cuts the watches that are waiting.
func (f *Front) CutWatches() {
	f.mu.Lock()
	n := len(f.watches)
	for _, cancel := range f.watches {
		cancel()
	}
	f.mu.Unlock()
	f.run.Logf("store: %d waiting watches were cut", n)
}

// Upstream is an upstream with its place in the installation.
type Upstream struct {
	*standin.Upstream
	Service, DataCentre string
	address             string // in its entry
}

// Installation is a store, upstreams and the configuration of a small installation.
type Installation struct {
	Store *standin.Store
	run   *Run

	mu        sync.Mutex
	upstreams []*Upstream
	gone      map[string]bool
	sequence  int
}

// NewInstallation returns an installation without upstreams.
func (r *Run) NewInstallation() *Installation {
	return &Installation{Store: standin.NewStore(), run: r, gone: make(map[string]bool)}
}

// Close stops the upstreams and the store.
func (n *Installation) Close() {
	for _, u := range n.upstreams {
		u.Close()
	}
	n.Store.Close()
}

// Add starts an upstream and writes its entry.
func (n *Installation) Add(service, dataCentre string, body []byte) *Upstream {
	return n.AddAt(service, dataCentre, body, func(address string) (string, error) { return address, nil })
}

// AddAt is Add for an upstream whose entry has the address that front returns for its own.
func (n *Installation) AddAt(service, dataCentre string, body []byte, front func(string) (string, error)) *Upstream {
	n.mu.Lock()
	id := fmt.Sprintf("i-%04d", len(n.upstreams))
	u := &Upstream{Upstream: standin.NewUpstream(id, body), Service: service, DataCentre: dataCentre}
	address, err := front(u.Address())
	if err != nil {
		n.run.Logf("upstream %s: %v", id, err)
	}
	u.address = address
	n.upstreams = append(n.upstreams, u)
	n.mu.Unlock()
	n.Beat(u)
	return u
}

// SetDown sets whether the upstreams of a service are down and report nothing. The store
// removes their entries after three heartbeats.
func (n *Installation) SetDown(service string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, u := range n.upstreams {
		if u.Service != service {
			continue
		}
		n.gone[u.ID()] = down
		if !down {
			continue
		}
		key, id := "servers/"+u.ID(), u.ID()
		time.AfterFunc(3*heartbeat, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.gone[id] {
				n.Store.Delete(key)
			}
		})
	}
}

// LogRuns writes which upstreams ran each request, and when, to the record.
func (n *Installation) LogRuns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	runs := make(map[string][]string)
	var ids []string
	for _, u := range n.upstreams {
		for _, q := range u.Requests() {
			if !q.Executed {
				continue
			}
			if runs[q.ID] == nil {
				ids = append(ids, q.ID)
			}
			runs[q.ID] = append(runs[q.ID], fmt.Sprintf("%s at %d", q.Upstream, n.run.TimeOf(q.At)))
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		n.run.Logf("run: %s by %s", id, strings.Join(runs[id], ", "))
	}
}

// LogCounts writes how many requests each upstream ran to the record.
func (n *Installation) LogCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, u := range n.upstreams {
		executed := 0
		for _, q := range u.Requests() {
			if q.Executed {
				executed++
			}
		}
		n.run.Logf("run: %d requests by %s of %s", executed, u.ID(), u.Service)
	}
}

// Upstreams returns the upstreams of a service.
func (n *Installation) Upstreams(service string) []*Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*Upstream
	for _, u := range n.upstreams {
		if u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// Beat writes the entry of an upstream unless it has left.
func (n *Installation) Beat(u *Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gone[u.ID()] {
		return
	}
	n.sequence++
	n.Store.Put("servers/"+u.ID(), map[string]any{
		"service": u.Service, "address": u.address, "zone": u.DataCentre, "version": "v1",
		"slots": 2, "state": "ready", "cold-remaining-ms": 0, "sequence": n.sequence, "born": 1764900000000,
	})
}

// Remove removes the entry of an upstream that leaves without a report, and returns the
// time of the store's acknowledgement. The upstream goes on serving.
func (n *Installation) Remove(u *Upstream) clock.Millis {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone[u.ID()] = true
	n.Store.Delete("servers/" + u.ID())
	n.run.Logf("upstream %s of %s leaves: its entry is removed, it goes on serving", u.ID(), u.Service)
	return n.run.Now()
}

// heartbeat is the interval of the upstreams' reports, as in the pages' example.
const heartbeat = 1200 * time.Millisecond

// Heartbeats writes the entries in turn until ctx is cancelled.
func (n *Installation) Heartbeats(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		n.mu.Lock()
		count := len(n.upstreams)
		u := n.upstreams[i%count]
		n.mu.Unlock()
		n.Beat(u)
		Sleep(heartbeat / time.Duration(count))
	}
}

// Configure writes a version of the configuration.
func (n *Installation) Configure(version int, routes ...map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := make(map[string]bool)
	var services []map[string]any
	for _, u := range n.upstreams {
		if !seen[u.Service] {
			seen[u.Service] = true
			services = append(services, map[string]any{"name": u.Service, "health-path": "/health", "max-connections": 110})
		}
	}
	n.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
