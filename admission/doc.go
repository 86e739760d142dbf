// Package admission decides once per query whether it runs, waits or is
// refused, before any sub-request is sent.
//
// Each service has one adaptive limit, counted in sub-requests, that the three
// ranks share by floors and lending. Queries that do not fit wait in one
// bounded queue per rank.
package admission
