// Package httproster implements roster.List over HTTP.
//
// The line protocol is JSON.
//
//	GET /vms  200 {"vms": [{"id": "vm-1", "address": "127.0.0.1:7001",
//	           "data_centre": "dc-1", "leaving": false}]}
//
// A list with an empty or repeated id, or an address that is not an IP address
// and a port, is refused as a whole, because it cannot be told which entry is right.
package httproster
