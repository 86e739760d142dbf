// Command lentillinkd runs one entry VM.
//
// It exits with 0 after a planned stop (SIGTERM or SIGINT) that aborted no
// request, 1 after a failure, and 2 if its arguments or settings are invalid.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/roster/httproster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/store/httpstore"
	"lentillink.example/lentillink/upstream/httpup"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings     string       `long:"settings" short:"s" env:"LENTILLINK_SETTINGS" required:"true" value-name:"FILE" description:"JSON settings of this VM; see lentillink config example"`
	Gateway      bool         `long:"gateway" description:"forward requests as configured by the operators in the platform's store"`
	DrainLimitMs clock.Millis `long:"drain-limit-ms" default:"30000" description:"longest planned stop, in milliseconds"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	if opts.Gateway {
		return runGateway(opts.Settings)
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		_ = logger.Log("event", "settings_refused", "file", opts.Settings, "err", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s, logger, opts.DrainLimitMs); err != nil {
		_ = logger.Log("event", "failed", "err", err)
		return exitFailed
	}
	return 0
}

func serve(ctx context.Context, s *settings.Settings, logger log.Logger, drainLimit clock.Millis) error {
	doc, timeouts := s.Document(), s.Timeouts()
	st := httpstore.New(doc.Store, httpstore.WithTimeout(timeouts.StoreMs))
	defer st.Close()
	vmList := httproster.New(doc.VMList, httproster.WithTimeout(timeouts.VMListMs))
	defer vmList.Close()
	upstreams := httpup.New(
		httpup.WithServices(s.Services()...), httpup.WithConnectTimeout(timeouts.ConnectMs),
		httpup.WithIdleTimeout(timeouts.IdleConnectionMs),
	)
	defer upstreams.Close()
	v, err := entry.New(s, entry.WithStore(st), entry.WithVMList(vmList), entry.WithUpstreams(upstreams),
		entry.WithLogger(logger), entry.WithDrainLimit(drainLimit))
	if err != nil {
		return err
	}
	return v.Run(ctx)
}
