package upstream

import (
	"context"

	"lentillink.example/lentillink/attempt"
)

// Client sends attempts to upstreams. Implementations are safe for concurrent use.
type Client interface {
	// Send runs one attempt and returns its reply. It reports every failure
	// through Status and Ran, and returns at the latest at the request's deadline.
	Send(ctx context.Context, req attempt.Request) attempt.Reply
	// Cancel asks an upstream to stop an attempt. A nil error does not say
	// whether the attempt ran; its reply does.
	Cancel(ctx context.Context, id ID, attempt attempt.ID) error
	// Load asks an upstream for its load. The answer may lag or mislead.
	Load(ctx context.Context, id ID) (Load, error)
	// SetConnectionLimit changes how many connections to an upstream may be open.
	SetConnectionLimit(id ID, n int)
	// Close closes all connections; running attempts fail.
	Close()
}

// Load is what an upstream says about itself. Only Leaving is binding.
type Load struct {
	Healthy      bool     `json:"healthy"`
	Leaving      bool     `json:"leaving"`
	Cold         bool     `json:"cold"`
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Connections  int      `json:"connections"`
	HeldVersions []uint64 `json:"held"`
}
