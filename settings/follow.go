package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"lentillink.example/lentillink/clock"
)

// PollIntervalMs is the interval at which the settings file is read without a
// signal. The platform may change the file without sending one.
const PollIntervalMs = 2 * clock.Second

// Watch calls apply after each change of a settings file, until ctx ends. It reads
// the file every PollIntervalMs and on each value from reload; after a value from
// reload it applies an unchanged file too. For invalid settings it calls reject
// with the error, once per change or reload, and does not call apply. An
// unreadable file is reported only after a value from reload.
func Watch(ctx context.Context, path string, reload <-chan os.Signal, apply func(*Gateway), reject func(error)) error {
	lastData, _ := os.ReadFile(path) // an unreadable file counts as changed once it can be read
	ticker := time.NewTicker(PollIntervalMs.Duration())
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			if signalled {
				reject(&Error{op: "load", kind: KindRead, err: trace.ConvertSystemError(err)})
			}
			continue
		}
		if bytes.Equal(data, lastData) && !signalled {
			continue
		}
		lastData = data
		g, err := DecodeGateway(data)
		if err != nil {
			reject(err)
			continue
		}
		apply(g)
	}
}
