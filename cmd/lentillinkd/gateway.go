package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/gateway"
	"lentillink.example/lentillink/platform"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/settings"
)

const (
	bytesPerMB = 1 << 20

	// memoryShare is the part of a VM's memory that the heap may take before the
	// collector works harder; the rest is for stacks, buffers of sockets and the program.
	memoryShare = 0.6
)

// runGateway runs a VM that forwards requests. It returns the exit code.
func runGateway(path string) int {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stdout))
	s, err := settings.LoadGateway(path)
	if err != nil {
		_ = logger.Log("event", "settings_refused", "file", path, "err", err)
		return exitUsage
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * bytesPerMB))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	logger = log.With(logger, "vm", s.VM, "data_centre", s.DataCentre)
	st := platform.NewStore(s.Store)
	defer st.Close()
	g := gateway.New(
		gateway.WithFeed(st, platform.Translator{}), gateway.WithHeaders(platform.Headers()),
		gateway.WithAddresses(s.Callers, s.Ready), gateway.WithReadyPath(platform.ReadyPath),
		gateway.WithLogger(logger), gateway.WithGrace(clock.Millis(s.GraceSeconds)*clock.Second), gateway.WithSeed(rand.Uint64()),
		gateway.WithRelay(
			relay.WithDataCentre(s.DataCentre), relay.WithVMs(s.ExpectedVMs),
			relay.WithBudget(s.Retry.Ratio, s.Retry.Extra, clock.Millis(s.Retry.WindowSeconds)*clock.Second),
		),
	)
	if err := g.Run(ctx); err != nil {
		_ = logger.Log("event", "failed", "err", err)
		return exitFailed
	}
	return 0
}
