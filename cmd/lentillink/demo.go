package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/demo"
	platformdemo "lentillink.example/lentillink/platform/demo"
)

type demoCommand struct {
	Deployment string `long:"deployment" choice:"hautakukka" choice:"pondslip" default:"hautakukka" description:"deployment to run"`
	VMs        int    `long:"vms" default:"7" description:"number of entry VMs"`
	Seconds    int    `long:"seconds" default:"4" description:"how long to send requests"`
	Platform   bool   `long:"platform" description:"run the gateway against the platform's stand-in instead"`
	Log        bool   `long:"log" description:"write the event log to standard error"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := log.NewNopLogger()
	if c.Log {
		logger = log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	}
	if c.Platform {
		return platformdemo.Run(ctx, platformdemo.Options{
			Duration: time.Duration(c.Seconds) * time.Second, Out: os.Stdout, Logger: logger,
		})
	}
	return demo.Run(ctx, demo.Options{
		Deployment: c.Deployment, VMs: c.VMs, Duration: time.Duration(c.Seconds) * time.Second,
		Out: os.Stdout, Logger: logger,
	})
}
