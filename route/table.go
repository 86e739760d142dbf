package route

import (
	"strings"

	"lentillink.example/lentillink/customer"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	config    Config                       // without the customers, whose keys are not kept
	hosts     map[string]map[string]*Route // by host, then by prefix
	services  map[string]Service
	shards    map[string]bool
	customers *customer.Directory
}

// NewTable returns the index of cfg. The caller must not modify cfg afterwards.
func NewTable(cfg Config) *Table {
	customers := customer.NewDirectory(cfg.Customers)
	cfg.Customers = nil
	t := &Table{config: cfg, hosts: make(map[string]map[string]*Route), services: make(map[string]Service), shards: make(map[string]bool), customers: customers}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := normalizeHost(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
		for _, shard := range r.Gather {
			t.shards[shard] = true
		}
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Customers returns the customers. It is never nil, and empty if the deployment has none.
func (t *Table) Customers() *customer.Directory { return t.customers }

// IsShard reports whether the service is a shard of some route.
func (t *Table) IsShard(name string) bool { return t.shards[name] }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route for host with the longest prefix of path. The path is
// compared as it was sent, without its query string. Each step removes the last
// segment of the path, so the cost does not grow with the number of routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.hosts[normalizeHost(host)]
	if prefixes == nil {
		return nil, false
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:i+1]]; ok {
			return r, true
		}
		path = path[:i]
	}
}

// normalizeHost removes the port of a host and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
