// Package httpup sends attempts to upstreams over HTTP.
//
// Bodies are JSON with byte fields in base64. Unknown fields of replies are
// ignored, so that upstreams may add some.
//
//	POST /query, POST /order
//	  {"attempt": {"vm": "vm-1", "incarnation": 1, "seq": 7},
//	   "service": "search", "group": "planner-01", "version": 3,
//	   "deadline_ms": 180, "rank": "urgent", "priority": 5,
//	   "order_id": "", "customer": "", "body": "e30="}
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
// deadline_ms is the remaining time when the request is sent. A reply must
// carry a Content-Length and the attempt identifier of its request.
//
//	status        meaning                                    ran
//	ok            the work was executed                      yes
//	version_gone  the version is not held                    no
//	shed          refused under load                         no
//	leaving       the upstream is draining                   no
//	expired       the deadline passed                        any
//	cancelled     cancelled by /cancel                       any
//	failed        the upstream failed                        any
//
// "ran" is the execution state of the work: yes, no or unknown. For the last
// three statuses the client takes it from the reply. A reply that contradicts
// this table is treated as mismatched. Failures map to attempt statuses as
// follows.
//
//	failure                                      status      ran
//	no remaining time, no free connection,
//	  client closed                              not_sent    no
//	connection refused or not opened in time     refused     no
//	new connection closed before the first write refused     no
//	deadline after the first write               timed_out   unknown
//	connection broken after the first write      failed      unknown
//	HTTP status other than 200                   failed      unknown
//	wrong attempt, truncated, oversized, or
//	  further bytes after the reply              mismatched  unknown
//
// If an upstream above its connection limit accepts connections and closes
// them, the status is refused if the reset arrives before the first write, and
// failed otherwise.
//
// Connections to an upstream are bounded. /cancel and /load use one further
// connection, so that a cancellation is never queued behind the work that it
// cancels. It closes soon after its last use.
package httpup
