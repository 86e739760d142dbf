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
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/settings"
)

const (
	bytesPerMB  = 1 << 20
	milliPerCPU = 1000

	// heapRatio is the part of a VM's memory that is set as the soft memory limit,
	// near which the garbage collector runs more often. The rest is for stacks,
	// socket buffers and the program.
	heapRatio = 0.6
)

// runGateway runs a VM that forwards requests. It returns the exit code.
func runGateway(path string) int {
	s, err := settings.LoadGateway(path)
	if err != nil {
		_ = log.With(log.NewLogfmtLogger(os.Stdout), "ts", log.DefaultTimestampUTC).Log("event", "settings_refused", "file", path, "err", err)
		return exitUsage
	}
	out := gateway.NewLogWriter(os.Stdout)
	logger := log.NewLogfmtLogger(out)
	logDone := make(chan error, 1)
	logCtx, stopLog := context.WithCancel(context.Background())
	go func() { logDone <- out.Run(logCtx) }()
	defer func() {
		stopLog()
		if err := <-logDone; err != nil {
			fmt.Fprintln(os.Stderr, "log:", err)
		}
	}()
	debug.SetMemoryLimit(int64(heapRatio * s.MemoryMB * bytesPerMB))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	// SIGHUP is registered before any slow step, because its default action ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "vm", s.VM, "data_centre", s.DataCentre)
	st := platform.NewStore(s.Store)
	defer st.Close()
	g := gateway.New(
		gateway.WithPrefixWatcher(st, platform.ItemDecoder{}), gateway.WithHeaders(platform.Headers()),
		gateway.WithLeases(st), gateway.WithStore(st), gateway.WithSelf(relay.VM{
			ID: s.VM, Address: s.Peers, DataCentre: s.DataCentre, CPUMilli: int(s.CPUShare * milliPerCPU),
		}),
		gateway.WithAddresses(s.Callers, s.Ready), gateway.WithReadyPath(platform.ReadyPath), gateway.WithMetricsAddress(s.Metrics),
		gateway.WithLogger(logger), gateway.WithLimits(reloadableLimits(s)), gateway.WithSeed(rand.Uint64()), gateway.WithWatchInterval(watchInterval(s)),
		gateway.WithMemory(int64(s.MemoryMB*bytesPerMB)), gateway.WithMaxHeads(s.Heads.RequestBytes, s.Heads.ReplyBytes), gateway.WithQuotaBounds(quota.Bounds{
			WindowMs: seconds(s.Quota.WindowSeconds), Overshoot: s.Quota.Overshoot, Slack: s.Quota.Slack,
		}),
		gateway.WithRelayOptions(relay.WithVMs(s.ExpectedVMs), relay.WithPlacingByCost(s.Placing.ByCost)),
	)
	watchDone := make(chan error, 1)
	watchCtx, stopWatch := context.WithCancel(ctx)
	go func() {
		watchDone <- settings.Watch(watchCtx, path, hup, func(next *settings.Gateway) {
			_ = logger.Log("event", "settings_reloaded", "restart_needed", restartNeeded(s, next))
			st.SetAddress(next.Store)
			g.SetLimits(reloadableLimits(next))
		}, func(err error) { _ = logger.Log("event", "settings_refused", "file", path, "err", err) })
	}()
	err = g.Run(ctx)
	stopWatch()
	if err = errors.Join(err, <-watchDone); err != nil {
		_ = logger.Log("event", "failed", "err", err)
		return exitFailed
	}
	return 0
}

const (
	// storeOutageDetectMs is how long the store may be unresponsive before a VM
	// detects it.
	storeOutageDetectMs clock.Millis = 3000

	// minWatchInterval is the interval for the shortest drain bound among the
	// installations, 3 s.
	minWatchInterval clock.Millis = 800
)

// watchInterval returns the minimum time between two watches: half of the drain
// bound that remains after a store outage is detected.
func watchInterval(s *settings.Gateway) clock.Millis {
	return max((clock.Millis(s.DrainMs)-storeOutageDetectMs)/2, minWatchInterval)
}

func seconds(s float64) clock.Millis { return clock.Millis(s * float64(clock.Second)) }

// reloadableLimits returns the settings that can change while the VM runs.
func reloadableLimits(s *settings.Gateway) gateway.Limits {
	return gateway.Limits{
		GracePeriod: seconds(s.GraceSeconds),
		Budget:      relay.BudgetMsg{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, WindowMs: seconds(s.Retry.WindowSeconds)},
	}
}

// restartNeeded reports whether settings differ that are read only at startup.
func restartNeeded(current, next *settings.Gateway) bool {
	return current.VM != next.VM || current.DataCentre != next.DataCentre || current.Callers != next.Callers ||
		current.Ready != next.Ready || current.Peers != next.Peers ||
		current.ExpectedVMs != next.ExpectedVMs || current.MemoryMB != next.MemoryMB || current.Quota != next.Quota || current.Heads != next.Heads || current.Placing != next.Placing
}
