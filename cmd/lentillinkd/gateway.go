package main

import (
	"context"
	"errors"
	"fmt"
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
	milli      = 1000

	// memoryShare is the part of a VM's memory that the heap may take before the
	// collector works harder; the rest is for stacks, buffers of sockets and the program.
	memoryShare = 0.6
)

// runGateway runs a VM that forwards requests. It returns the exit code.
func runGateway(path string) int {
	s, err := settings.LoadGateway(path)
	if err != nil {
		_ = log.NewLogfmtLogger(os.Stdout).Log("event", "settings_refused", "file", path, "err", err)
		return exitUsage
	}
	out := gateway.NewLogWriter(os.Stdout)
	logger := log.NewLogfmtLogger(out)
	logEnd := make(chan error, 1)
	logCtx, stopLog := context.WithCancel(context.Background())
	go func() { logEnd <- out.Run(logCtx) }()
	defer func() {
		stopLog()
		if err := <-logEnd; err != nil {
			fmt.Fprintln(os.Stderr, "log:", err)
		}
	}()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * bytesPerMB))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	// Registered before anything else can take time: the default action of SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	logger = log.With(logger, "vm", s.VM, "data_centre", s.DataCentre)
	st := platform.NewStore(s.Store)
	defer st.Close()
	g := gateway.New(
		gateway.WithPrefixWatcher(st, platform.ItemDecoder{}), gateway.WithHeaders(platform.Headers()),
		gateway.WithLeases(st), gateway.WithStore(st), gateway.WithSelf(relay.VM{
			ID: s.VM, Address: s.Peers, DataCentre: s.DataCentre, CPUMilli: int(s.CPUShare * milli),
		}),
		gateway.WithAddresses(s.Callers, s.Ready), gateway.WithReadyPath(platform.ReadyPath), gateway.WithMetricsAddress(s.Metrics),
		gateway.WithLogger(logger), gateway.WithLimits(reloadable(s)), gateway.WithSeed(rand.Uint64()), gateway.WithWatchInterval(watchPace(s)),
		gateway.WithRelayOptions(relay.WithVMs(s.ExpectedVMs)),
	)
	followEnd := make(chan error, 1)
	follow, stopFollow := context.WithCancel(ctx)
	go func() {
		followEnd <- settings.Watch(follow, path, hup, func(next *settings.Gateway) {
			_ = logger.Log("event", "settings_reloaded", "restart_needed", restartNeeded(s, next))
			st.SetAddress(next.Store)
			g.SetLimits(reloadable(next))
		}, func(err error) { _ = logger.Log("event", "settings_refused", "file", path, "err", err) })
	}()
	err = g.Run(ctx)
	stopFollow()
	if err = errors.Join(err, <-followEnd); err != nil {
		_ = logger.Log("event", "failed", "err", err)
		return exitFailed
	}
	return 0
}

const (
	// silentMs is how long the store may be silent before a VM notices.
	silentMs clock.Millis = 3000

	// leastPace is the pace for the narrowest bound of the users' installations, 3 s.
	leastPace clock.Millis = 800
)

// watchPace returns the least time between two watches: what the bound on drains
// leaves after the store fell silent.
func watchPace(s *settings.Gateway) clock.Millis { return max((s.DrainMs-silentMs)/2, leastPace) }

// reloadable returns the settings that apply while the VM runs.
func reloadable(s *settings.Gateway) gateway.Limits {
	return gateway.Limits{
		GracePeriod: clock.Millis(s.GraceSeconds) * clock.Second,
		Budget:      relay.BudgetMsg{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, WindowMs: clock.Millis(s.Retry.WindowSeconds) * clock.Second},
	}
}

// restartNeeded reports whether settings differ that are read only at the start.
func restartNeeded(a, b *settings.Gateway) bool {
	return a.VM != b.VM || a.DataCentre != b.DataCentre || a.Callers != b.Callers || a.Ready != b.Ready || a.Peers != b.Peers ||
		a.ExpectedVMs != b.ExpectedVMs || a.MemoryMB != b.MemoryMB
}
