// Package admission decides once per query whether it is started, queued or
// refused, before any sub-request is sent.
//
// Each service has one adaptive concurrency limit, counted in sub-requests and
// shared by the three ranks. Each rank has a guaranteed share, its floor, and
// capacity that a rank does not use is lent to the others. Queries that do not fit
// wait in one bounded queue per rank.
package admission
