// Package httproster implements roster.List over HTTP.
//
// Bodies are JSON.
//
//	GET /vms  200 {"vms": [{"id": "vm-1", "address": "127.0.0.1:7001",
//	           "data_centre": "dc-1", "leaving": false}]}
//
// A list with an empty or repeated id, or with an address that is not an IP
// address and a port, is rejected as a whole, because the client cannot determine
// which entry is correct.
package httproster
