// Package httpstore implements store.Store over HTTP.
//
// Bodies are JSON with values in base64.
//
//	GET /kv?key=K                         200 {"key": K, "value": "...", "revision": 3}, revision 0 if absent
//	PUT /kv?key=K&expect=R {"value": ""}  200 {"key": K, "revision": 4}
//	DELETE /kv?key=K&expect=R             200 {"key": K, "revision": 0}
//	GET /watch?key=K&after=R&wait_ms=W    200 like GET /kv, once the revision exceeds R or W has passed
//	POST /lease?ttl_ms=T                  200 {"id": 7}
//	PUT /lease?id=7, DELETE /lease?id=7   200 {"id": 7}
//
// Every reply carries a Content-Length. HTTP statuses and failures map to kinds
// as follows. A read has no effect, so its kind is never unknown.
//
//	status or failure                           write        read
//	409                                         conflict     unavailable
//	413                                         too_large    unavailable
//	400, 429, 503                               unavailable  unavailable
//	connection refused, nothing sent            unavailable  unavailable
//	timeout, connection broken, reply
//	  truncated or for another key              unknown      unavailable
//	other statuses                              unknown      unavailable
//
// Watch repeats GET /watch (a long poll) until the revision exceeds the known
// one. A deleted key has no revision, so Watch does not report a deletion. Each
// Watch has its own connection.
package httpstore
