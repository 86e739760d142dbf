package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
)

type standInsCommand struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings whose store, VM list and upstreams to serve"`
	Control  string `long:"control" default:"127.0.0.1:8999" value-name:"HOST:PORT" description:"address for POST /fault"`
}

// Execute serves the stand-ins until it is interrupted.
func (c *standInsCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg, err := c.load()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	d, err := standin.StartDeployment(ctx, cfg, standin.WithControlAddress(c.Control))
	if err != nil {
		return err
	}
	fmt.Printf("store %s, VM list %s, %d upstreams, control %s; interrupt to stop\n",
		cfg.Document().Store, cfg.Document().VMList, len(d.Upstreams()), d.ControlAddress())
	<-ctx.Done()
	return errors.Join(err, d.Close())
}

func (c *standInsCommand) load() (*settings.Settings, error) {
	if c.Settings != "" {
		return settings.Load(c.Settings)
	}
	return settings.Example("hautakukka")
}
