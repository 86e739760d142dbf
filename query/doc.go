// Package query decides the life cycle of a query: its snapshot, the fan-out
// to one upstream of every group, hedges, retries and the merge of the replies.
//
// Model is a pure state machine. A runtime performs its commands and turns
// results into messages.
package query
