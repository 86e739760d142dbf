package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/upstream"
)

// Calls per second that the store of a deployment accepts, as in section 1.4 of
// the design page.
const (
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
)

// Deployment runs the fake services of one settings document.
type Deployment struct {
	store    *Store
	vmList   *VMList
	control  *server
	settings *settings.Settings
	services []upstream.Service

	upstreams   map[upstream.ID]*Upstream
	upstreamIDs []upstream.ID // in the order of the settings

	controlAddress  string
	freePorts       bool
	upstreamOptions []UpstreamOption
	storeOptions    []StoreOption
	vmListOptions   []VMListOption

	repartitionMu sync.Mutex // held while a shard map changes; guards repartitions
	repartitions  map[string]uint64
}

// StartDeployment serves the store, the VM list and all upstreams of cfg until
// ctx is cancelled or Close is called.
func StartDeployment(ctx context.Context, cfg *settings.Settings, opts ...DeploymentOption) (*Deployment, error) {
	d := &Deployment{
		settings:       cfg,
		services:       cfg.Services(),
		upstreams:      make(map[upstream.ID]*Upstream),
		controlAddress: "127.0.0.1:0",
		repartitions:   make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(d)
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) (err error) {
	doc := d.settings.Document()
	storeAddress, vmListAddress := doc.Store, doc.VMList
	if d.freePorts {
		storeAddress, vmListAddress = "127.0.0.1:0", "127.0.0.1:0"
	}
	if d.store, err = StartStore(ctx, append([]StoreOption{WithStoreAddress(storeAddress), WithRateLimits(storeWritesPerSecond, storeReadsPerSecond)}, d.storeOptions...)...); err != nil {
		return err
	}
	if d.vmList, err = StartVMList(ctx, append([]VMListOption{WithVMListAddress(vmListAddress)}, d.vmListOptions...)...); err != nil {
		return err
	}
	for _, svc := range d.services {
		for _, g := range svc.Groups {
			if err := d.startGroup(ctx, g); err != nil {
				return err
			}
		}
	}
	if d.freePorts {
		if err := d.updateSettings(); err != nil {
			return err
		}
	}
	d.control = newServer(ctx, d.controlAddress)
	return d.control.start(d.route)
}

func (d *Deployment) startGroup(ctx context.Context, g upstream.Group) error {
	for i, r := range g.Replicas {
		if d.freePorts {
			r.Address = ""
		}
		opts := []UpstreamOption{WithSeed(uint64(len(d.upstreamIDs)) + 1)}
		if g.Range.Len() > 0 {
			opts = append(opts, WithRanges(1, g.Range))
		}
		u, err := StartUpstream(ctx, r, append(opts, d.upstreamOptions...)...)
		if err != nil {
			return err
		}
		g.Replicas[i].Address = u.Address()
		d.upstreams[r.ID] = u
		d.upstreamIDs = append(d.upstreamIDs, r.ID)
	}
	return nil
}

// updateSettings replaces the configured addresses by those in use.
func (d *Deployment) updateSettings() (err error) {
	doc := d.settings.Document()
	doc.Store, doc.VMList = d.store.Address(), d.vmList.Address()
	doc.Services = slices.Clone(doc.Services)
	for i, svc := range doc.Services {
		svc.Groups = slices.Clone(svc.Groups)
		for j, g := range svc.Groups {
			g.Replicas = slices.Clone(g.Replicas)
			for k := range g.Replicas {
				g.Replicas[k].Address = d.services[i].Groups[j].Replicas[k].Address
			}
			svc.Groups[j] = g
		}
		doc.Services[i] = svc
	}
	d.settings, err = settings.New(doc)
	return err
}

// Close stops all fake services concurrently and waits until they have stopped.
func (d *Deployment) Close() error {
	var closers []interface{ Close() error }
	if d.control != nil {
		closers = append(closers, d.control)
	}
	if d.store != nil {
		closers = append(closers, d.store)
	}
	if d.vmList != nil {
		closers = append(closers, d.vmList)
	}
	for _, u := range d.upstreams {
		closers = append(closers, u)
	}
	results := make(chan error, len(closers))
	for _, c := range closers {
		go func() { results <- c.Close() }()
	}
	var err error
	for range closers {
		err = errors.Join(err, <-results)
	}
	return err
}

// RollOver adds version to every upstream of a service and removes all versions
// but the two newest.
func (d *Deployment) RollOver(service string, version uint64) error {
	upstreams, err := d.upstreamsAt(service)
	if err != nil {
		return err
	}
	for _, u := range upstreams {
		u.AddVersion(version)
		held := u.HeldVersions()
		for _, oldVersion := range held[:max(0, len(held)-2)] {
			u.RemoveVersion(oldVersion)
		}
	}
	return nil
}

// Repartition moves every boundary between neighbouring groups of a service to
// shift keys above its configured key, and increments the epoch.
func (d *Deployment) Repartition(service string, shift uint32) error {
	i := slices.IndexFunc(d.services, func(s upstream.Service) bool { return s.Name == service && s.Keys > 0 })
	if i < 0 {
		return &Error{op: "repartition", kind: KindUnknownTarget, err: fmt.Errorf("service %q has no keys or does not exist", service)}
	}
	groups := slices.Clone(d.services[i].Groups)
	slices.SortFunc(groups, func(a, b upstream.Group) int { return cmp.Compare(a.Range.From, b.Range.From) })
	for _, g := range groups {
		if shift >= g.Range.Len() {
			err := fmt.Errorf("shift is %d, want less than the %d keys of group %s", shift, g.Range.Len(), g.Name)
			return &Error{op: "repartition", kind: KindInvalid, err: err}
		}
	}
	d.repartitionMu.Lock()
	defer d.repartitionMu.Unlock()
	d.repartitions[service]++ // the first shard map has epoch 1
	for n, g := range groups {
		r := g.Range
		if n > 0 {
			r.From += shift
		}
		if n < len(groups)-1 {
			r.To += shift
		}
		for _, u := range g.Replicas {
			d.upstreams[u.ID].SetRanges(d.repartitions[service]+1, coverage.Range{From: r.From, To: r.To})
		}
	}
	return nil
}

// upstreamsAt returns the upstreams that a path selects: a single one, or those
// of a group or of a service.
func (d *Deployment) upstreamsAt(path string) ([]*Upstream, error) {
	var out []*Upstream
	for _, id := range d.upstreamIDs {
		if string(id) == path || strings.HasPrefix(string(id), path+"/") {
			out = append(out, d.upstreams[id])
		}
	}
	if len(out) == 0 {
		err := fmt.Errorf("target %q is not store, vm_list, or a service, group or upstream such as search, search/planner-01 or search/planner-01/a", path)
		return nil, &Error{op: "inject", kind: KindUnknownTarget, err: err}
	}
	return out, nil
}
