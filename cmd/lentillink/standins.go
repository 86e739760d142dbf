package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
)

type standInsCommand struct {
	Settings []string `long:"settings" short:"s" value-name:"FILE" description:"settings of one VM; repeat it for each VM. The first names the store, VM list and upstreams to serve (default: the nine VMs of config example)"`
	Control  string   `long:"control" default:"127.0.0.1:8999" value-name:"HOST:PORT" description:"address for POST /fault"`
}

// Execute serves the stand-ins until it is interrupted.
func (c *standInsCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	all, err := c.loadSettings()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	d, err := standin.StartDeployment(ctx, all[0], standin.WithControlAddress(c.Control))
	if err != nil {
		return err
	}
	if err := registerVMs(d.VMList(), all); err != nil {
		return errors.Join(err, d.Close())
	}
	fmt.Printf("store %s, VM list %s with %d VMs, %d upstreams, control %s; interrupt to stop\n",
		all[0].Document().Store, all[0].Document().VMList, len(all), len(d.Upstreams()), d.ControlAddress())
	<-ctx.Done()
	return d.Close()
}

// registerVMs adds the VMs to the VM list, through which VMs discover each other.
func registerVMs(list *standin.VMList, all []*settings.Settings) error {
	for _, s := range all {
		vm := roster.VM{ID: s.VM(), Address: s.Addresses().Peers, DataCentre: s.DataCentre()}
		if err := list.Register(vm); err != nil {
			return err
		}
	}
	return nil
}

func (c *standInsCommand) loadSettings() ([]*settings.Settings, error) {
	if len(c.Settings) == 0 {
		return exampleSettings()
	}
	var all []*settings.Settings
	for _, file := range c.Settings {
		s, err := settings.Load(file)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func exampleSettings() ([]*settings.Settings, error) {
	var all []*settings.Settings
	for n := 1; n <= settings.ExampleVMs; n++ {
		s, err := settings.Example("hautakukka", settings.WithVM(n), settings.WithPortBase(examplePortBase))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}
