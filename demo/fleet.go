package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/roster/httproster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/store/httpstore"
	"lentillink.example/lentillink/upstream/httpup"
)

const (
	dataCentres  = 3
	readyTimeout = 15 * clock.Second
	pollInterval = 20 * time.Millisecond
)

// FleetConfig describes a fleet to start.
type FleetConfig struct {
	Settings       *settings.Settings // of any VM; addresses are replaced by free ports
	VMs            int
	Logger         log.Logger
	StandinOptions []standin.DeploymentOption
	EntryOptions   []entry.Option // for every VM
}

// Fleet is a running deployment: its stand-ins and its entry VMs.
type Fleet struct {
	Standins *standin.Deployment
	vms      []*fleetVM
	logger   log.Logger
	options  []entry.Option
}

// fleetVM is one running entry VM. Channel done receives the result of its Run.
type fleetVM struct {
	id           string
	address      string
	caller       *caller.Client
	stop         context.CancelFunc
	done         chan error
	closeClients func()
	sockets      *sockets
	killed       bool
}

// StartFleet starts the stand-ins of a deployment and n entry VMs, and waits
// until every VM is ready.
func StartFleet(ctx context.Context, deployment string, n int, logger log.Logger, opts ...standin.DeploymentOption) (*Fleet, error) {
	cfg, err := settings.Example(deployment)
	if err != nil {
		return nil, err
	}
	return StartFromConfig(ctx, FleetConfig{Settings: cfg, VMs: n, Logger: logger, StandinOptions: opts})
}

// StartFromConfig starts the fleet that cfg describes and waits until every
// VM is ready.
func StartFromConfig(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	opts := append([]standin.DeploymentOption{standin.WithFreePorts()}, cfg.StandinOptions...)
	standins, err := standin.StartDeployment(ctx, cfg.Settings, opts...)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Standins: standins, logger: cfg.Logger, options: cfg.EntryOptions}
	for i := range cfg.VMs {
		if err := f.Start(ctx, fmt.Sprintf("vm-%d", i+1)); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Start adds one entry VM and registers it on the VM list. It does not wait
// until the VM is ready.
func (f *Fleet) Start(ctx context.Context, id string) error {
	socks := newSockets()
	peers, err := socks.listen()
	if err != nil {
		return err
	}
	callers, err := socks.listen()
	if err != nil {
		return err
	}
	cfg, err := f.settingsFor(id, peers.Addr().String(), callers.Addr().String())
	if err != nil {
		return err
	}
	doc := cfg.Document()
	st, list := httpstore.New(doc.Store), httproster.New(doc.VMList)
	ups := httpup.New(httpup.WithServices(cfg.Services()...))
	opts := append([]entry.Option{
		entry.WithStore(st), entry.WithVMList(list), entry.WithUpstreams(ups), entry.WithLogger(f.logger),
		entry.WithListeners(peers, callers), entry.WithBalancerWait(200),
		entry.WithMeshOptions(peer.WithDialer(socks.dial)),
	}, f.options...)
	v, err := entry.New(cfg, opts...)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	vm := &fleetVM{
		id: id, address: doc.Addresses.Callers, caller: caller.New(doc.Addresses.Callers), stop: stop,
		done: make(chan error, 1), sockets: socks,
		closeClients: sync.OnceFunc(func() { ups.Close(); list.Close(); st.Close() }),
	}
	go func() { vm.done <- v.Run(runCtx) }()
	f.vms = append(f.vms, vm)
	return f.Standins.VMList().Register(roster.VM{ID: id, Address: doc.Addresses.Peers, DataCentre: doc.DataCentre})
}

// settingsFor adapts the settings of the stand-ins to one VM.
func (f *Fleet) settingsFor(id, peers, callers string) (*settings.Settings, error) {
	doc := f.Standins.Settings().Document()
	doc.VM = id
	doc.DataCentre = fmt.Sprintf("dc-%d", len(f.vms)%dataCentres+1)
	doc.Addresses = settings.Addresses{Callers: callers, Admin: callers, Peers: peers}
	return settings.New(doc)
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for _, vm := range f.vms {
		for !vm.caller.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("VM %s was not ready within %d ms", vm.id, readyTimeout)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Caller returns a client of the i-th VM, with i taken modulo the number of VMs.
func (f *Fleet) Caller(i int) *caller.Client { return f.vms[i%len(f.vms)].caller }

// Address returns the address of the i-th VM for callers.
func (f *Fleet) Address(i int) string { return f.vms[i].address }

// Size returns the number of VMs that were started.
func (f *Fleet) Size() int { return len(f.vms) }

// Stop starts a planned stop of the i-th VM and waits until its Run returns.
func (f *Fleet) Stop(i int) error {
	vm := f.vms[i]
	vm.stop()
	err := <-vm.done
	vm.done <- err // Close reads it again
	return err
}

// Kill closes every socket of the i-th VM at once, without a drain, and removes
// the VM from the VM list, as the platform does when a VM fails.
func (f *Fleet) Kill(i int) {
	vm := f.vms[i]
	vm.killed = true
	vm.sockets.closeAll()
	vm.closeClients()
	vm.stop()
	f.Standins.VMList().Remove(vm.id)
}

// Close stops all VMs, then the stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	for _, vm := range f.vms {
		vm.stop()
	}
	for _, vm := range f.vms {
		if err := <-vm.done; !vm.killed { // a killed VM ends with an error
			errs = append(errs, err)
		}
		vm.closeClients()
	}
	errs = append(errs, f.Standins.Close())
	return errors.Join(errs...)
}
