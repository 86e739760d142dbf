package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"lentillink.example/lentillink/clock"
)

// PollIntervalMs is how often the settings file is looked at without a signal.
// The platform may change the file silently.
const PollIntervalMs = 2 * clock.Second

// Watch calls apply after each change of a settings file, until ctx ends. A
// value on again makes it look at once. A file that cannot be used leaves the
// settings as they are and is passed to refuse once.
func Watch(ctx context.Context, path string, reload <-chan os.Signal, apply func(*Gateway), reject func(error)) error {
	lastData, _ := os.ReadFile(path) // a file that cannot be read counts as changed once it can be
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
