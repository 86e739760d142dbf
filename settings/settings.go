package settings

import (
	"os"
	"reflect"

	"github.com/gravitational/trace"

	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream"
)

// Settings are validated settings. They are immutable.
type Settings struct {
	doc Document
}

// Decode decodes and validates a JSON document. Its errors are of type *Error.
func Decode(data []byte) (*Settings, error) {
	v, err := parse(data)
	if err != nil {
		return nil, &Error{op: "decode", kind: KindSyntax, err: err}
	}
	doc := defaults()
	b := &binder{rejected: make(map[string]bool)}
	b.bind("", v, reflect.ValueOf(&doc).Elem())
	return newSettings(b, doc)
}

// New validates a document that was built in code. It fills in no defaults, so the
// document must have every field.
func New(doc Document) (*Settings, error) {
	return newSettings(&binder{rejected: make(map[string]bool)}, doc)
}

// Load reads, decodes and validates a file. Its errors are of type *Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{op: "load", kind: KindRead, err: trace.ConvertSystemError(err)}
	}
	return Decode(data)
}

func newSettings(b *binder, doc Document) (*Settings, error) {
	c := checker{binder: b, addresses: make(map[string]string)}
	if !b.rejected["(document)"] {
		c.checkDocument(&doc)
	}
	if len(b.problems) > 0 {
		return nil, &Error{op: "check", kind: KindInvalid, problems: b.problems}
	}
	return &Settings{doc: doc}, nil
}

// Document returns the JSON document. The caller must not change its slices.
func (s *Settings) Document() Document { return s.doc }

// VM returns the identifier of this VM.
func (s *Settings) VM() string { return s.doc.VM }

// DataCentre returns the data centre of this VM.
func (s *Settings) DataCentre() string { return s.doc.DataCentre }

// Addresses returns the addresses on which this VM listens.
func (s *Settings) Addresses() Addresses { return s.doc.Addresses }

// Timeouts returns the timeouts, with defaults filled in.
func (s *Settings) Timeouts() Timeouts { return s.doc.Timeouts }

// Limits returns the limits, with defaults filled in.
func (s *Settings) Limits() Limits { return s.doc.Limits }

// Services returns the services in the types of package upstream.
func (s *Settings) Services() []upstream.Service {
	out := make([]upstream.Service, 0, len(s.doc.Services))
	for _, svc := range s.doc.Services {
		converted := upstream.Service{Name: svc.Name, Keys: svc.Keys}
		for _, g := range svc.Groups {
			converted.Groups = append(converted.Groups, convertGroup(svc.Name, g))
		}
		out = append(out, converted)
	}
	return out
}

func convertGroup(service string, g Group) upstream.Group {
	converted := upstream.Group{Name: g.Name, Range: coverage.Range{From: g.From, To: g.To}}
	for _, r := range g.Replicas {
		converted.Replicas = append(converted.Replicas, upstream.Upstream{
			ID:              upstream.ID(service + "/" + g.Name + "/" + r.Name),
			Service:         service,
			Group:           g.Name,
			Address:         r.Address,
			ConnectionLimit: r.Connections,
			ConnectMs:       r.ConnectMs,
		})
	}
	return converted
}
