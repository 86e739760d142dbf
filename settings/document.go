package settings

import "lentillink.example/lentillink/clock"

// Document is the JSON document with the settings of one VM.
type Document struct {
	VM         string     `json:"vm"`
	DataCentre string     `json:"data_centre"`
	Addresses  Addresses  `json:"addresses"`
	Store      string     `json:"store"`
	VMList     string     `json:"vm_list"`
	Services   []Service  `json:"services"`
	Customers  []Customer `json:"customers"`
	Timeouts   Timeouts   `json:"timeouts"`
	Limits     Limits     `json:"limits"`
}

// Addresses are the addresses on which the VM listens. Admin may equal Callers.
type Addresses struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Service is one service. Keys is the size of its key space, 0 for a service that
// accepts only orders.
type Service struct {
	Name   string  `json:"name"`
	Keys   uint32  `json:"keys"`
	Groups []Group `json:"groups"`
}

// Group is a set of replicas that all hold the keys [From, To) of the service.
type Group struct {
	Name     string    `json:"name"`
	From     uint32    `json:"from"`
	To       uint32    `json:"to"`
	Replicas []Replica `json:"replicas"`
}

// Replica is one upstream of a group.
type Replica struct {
	Name        string       `json:"name"`
	Address     string       `json:"address"`
	Connections int          `json:"connections"`
	ConnectMs   clock.Millis `json:"connect_ms"`
}

// Timeouts bound calls and idle connections. An omitted field has its default.
type Timeouts struct {
	StoreMs          clock.Millis `json:"store_ms"`
	VMListMs         clock.Millis `json:"vm_list_ms"`
	PeerMs           clock.Millis `json:"peer_ms"`
	ConnectMs        clock.Millis `json:"connect_ms"`
	IdleConnectionMs clock.Millis `json:"idle_connection_ms"`
}

// Limits bound memory use. An omitted field has its default.
type Limits struct {
	RequestBodyBytes int `json:"request_body_bytes"`
	RingEvents       int `json:"ring_events"`
}

// defaults returns a document that holds the default of every optional field.
func defaults() Document {
	return Document{
		Customers: []Customer{},
		Timeouts:  Timeouts{StoreMs: 1000, VMListMs: 1000, PeerMs: 1000, ConnectMs: 500, IdleConnectionMs: 60_000},
		Limits:    Limits{RequestBodyBytes: 1 << 20, RingEvents: 4096},
	}
}
