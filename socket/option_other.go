//go:build !linux

package socket

import "time"

// setUserTimeout does nothing where the option does not exist; keep-alive
// probes still find a silent peer.
func setUserTimeout(int, time.Duration) error { return nil }
