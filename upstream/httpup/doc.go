// Package httpup sends attempts to upstreams over HTTP.
//
// The line protocol is JSON. Byte fields are base64. Unknown fields are
// ignored in replies, so that upstreams may add some.
//
//	POST /query, POST /order
//	  {"attempt": {"vm": "vm-1", "incarnation": 1, "seq": 7},
//	   "service": "search", "group": "planner-01", "version": 3,
//	   "deadline_ms": 180, "rank": "urgent", "priority": 5,
//	   "order_id": "", "body": "e30="}
//	  200 {"attempt": {...}, "status": "ok", "ran": "yes", "version": 3, "epoch": 1,
//	   "ranges": [{"from": 0, "to": 1000}], "held": [2, 3],
//	   "rows": [{"key": 4, "value": "v3"}], "body": "", "leaving": false, "retry_after_ms": 0}
//	POST /cancel
//	  {"attempt": {...}}
//	  200 {"attempt": {...}, "found": true}
//	GET /load
//	  200 {"healthy": true, "leaving": false, "cold": false, "running": 1,
//	   "queued": 0, "connections": 2, "held": [2, 3]}
//
// deadline_ms is the budget that remains when the request is sent. A reply
// must carry a Content-Length and the attempt identifier of its request.
//
//	status        meaning                                    ran
//	ok            the work was run                           yes
//	version_gone  the version is not held                    no
//	shed          refused under load                         no
//	leaving       the upstream is draining                   no
//	expired       the deadline passed                        as "ran" says
//	cancelled     cancelled by /cancel                       as "ran" says
//	failed        the upstream failed                        as "ran" says
//
// A reply that contradicts this table is treated as mismatched. Failures map
// to attempt statuses as follows.
//
//	failure                                      status      ran
//	no time, no free connection, client closed   not_sent    no
//	connection refused or not opened in time     refused     no
//	new connection closed before the first write refused     no
//	deadline after the first write               timed_out   unknown
//	connection broken after the first write      failed      unknown
//	HTTP status other than 200                   failed      unknown
//	wrong attempt, cut, oversized, doubled       mismatched  unknown
//
// An upstream above its connection limit that accepts and closes connections
// is seen as refused if its reset arrives before the first write, and as failed
// otherwise.
//
// Connections to an upstream are bounded; /cancel and /load use one further
// connection that closes soon after its last use, so that a cancellation never
// waits behind the work that it cancels.
package httpup
