package settings

import (
	"fmt"
	"strings"

	"lentillink.example/lentillink/clock"
)

// Port layout of an example, as offsets from its port base.
const (
	defaultPortBase    = 21000
	storePortOffset    = 0
	vmListPortOffset   = 1
	vmPortOffset       = 10 // first of three ports per VM
	upstreamPortOffset = 100
)

// ExampleVMs is the number of VMs for which an example reserves ports.
const ExampleVMs = 9

// keysPerGroup is the number of keys of each group in an example.
const keysPerGroup = 1000

// serviceSpec describes one service of an example.
type serviceSpec struct {
	service     string
	groups      []string
	replicas    int
	keyed       bool
	connections int
	connectMs   clock.Millis
}

// deployments have the sizes given in section 1.6 of the design page.
var deployments = map[string][]serviceSpec{
	"hautakukka": {
		{"search", append(numberedNames("planner", 10), numberedNames("app", 10)...), 2, true, 25, 6},
		{"orders", numberedNames("desk", 30), 2, false, 25, 6},
		{"archive", numberedNames("archive", 15), 1, true, 110, 1},
		{"roster", numberedNames("roster", 7), 1, true, 110, 1},
	},
	"pondslip": {
		{"search", numberedNames("slots", 20), 2, true, 25, 6},
		{"orders", numberedNames("membership", 30), 2, false, 25, 6},
		{"renewal", numberedNames("renewal", 8), 1, true, 35, 1},
		{"results", numberedNames("results", 4), 1, true, 35, 1},
	},
}

// Deployments returns the names that Example accepts.
func Deployments() []string { return []string{"hautakukka", "pondslip"} }

type example struct {
	portBase int
	vm       int
	nextPort int // next free upstream port
}

// Example returns the settings of a full-size deployment on loopback addresses.
func Example(deployment string, opts ...Option) (*Settings, error) {
	specs, ok := deployments[deployment]
	if !ok {
		err := fmt.Errorf("deployment %q is not one of %s", deployment, strings.Join(Deployments(), ", "))
		return nil, &Error{op: "example", kind: KindUnknownDeployment, err: err}
	}
	e := &example{portBase: defaultPortBase, vm: 1}
	for _, opt := range opts {
		opt(e)
	}
	if e.vm < 1 || e.vm > ExampleVMs {
		return nil, &Error{op: "example", kind: KindInvalid, err: fmt.Errorf("VM is %d, want 1 to %d", e.vm, ExampleVMs)}
	}
	return New(e.document(specs))
}

func (e *example) document(specs []serviceSpec) Document {
	doc := defaults()
	doc.VM = fmt.Sprintf("vm-%d", e.vm)
	doc.DataCentre = fmt.Sprintf("dc-%d", (e.vm-1)%3+1)
	doc.Addresses = Addresses{Callers: e.vmAddress(e.vm, 0), Peers: e.vmAddress(e.vm, 1), Admin: e.vmAddress(e.vm, 2)}
	doc.Store = e.address(storePortOffset)
	doc.VMList = e.address(vmListPortOffset)
	e.nextPort = upstreamPortOffset
	for _, s := range specs {
		doc.Services = append(doc.Services, e.service(s))
	}
	return doc
}

func (e *example) service(s serviceSpec) Service {
	svc := Service{Name: s.service}
	for _, name := range s.groups {
		g := Group{Name: name}
		if s.keyed {
			g.From, g.To = svc.Keys, svc.Keys+keysPerGroup
			svc.Keys = g.To
		}
		for n := range s.replicas {
			g.Replicas = append(g.Replicas, Replica{
				Name: string(rune('a' + n)), Address: e.address(e.nextPort), Connections: s.connections, ConnectMs: s.connectMs,
			})
			e.nextPort++
		}
		svc.Groups = append(svc.Groups, g)
	}
	return svc
}

func (e *example) vmAddress(vm, index int) string { return e.address(vmPortOffset + 3*(vm-1) + index) }

func (e *example) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", e.portBase+offset) }

func numberedNames(name string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%02d", name, i+1)
	}
	return out
}
