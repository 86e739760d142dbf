package main

import (
	"errors"
	"fmt"

	"lentillink.example/lentillink/settings"
)

type configValidateCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute checks a settings file and prints every problem with its field.
func (c *configValidateCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.File)
	if err != nil {
		var settingsErr *settings.Error
		if errors.As(err, &settingsErr) {
			for _, p := range settingsErr.Problems() {
				fmt.Println(p)
			}
			if len(settingsErr.Problems()) > 0 {
				return &exitError{code: exitUsage}
			}
		}
		return &exitError{code: exitUsage, err: err}
	}
	upstreams := 0
	for _, svc := range s.Services() {
		for _, g := range svc.Groups {
			upstreams += len(g.Replicas)
		}
	}
	fmt.Printf("%s: valid settings of %s in %s, %d services, %d upstreams\n",
		c.Args.File, s.VM(), s.DataCentre(), len(s.Services()), upstreams)
	return nil
}

// examplePortBase is the default of config example --port-base. The default of
// --vm is the first VM of that example.
const examplePortBase = 9000

type configExampleCommand struct {
	Deployment string `long:"deployment" choice:"hautakukka" choice:"pondslip" default:"hautakukka" description:"deployment to describe"`
	VM         int    `long:"number" default:"1" description:"which VM the settings are for, 1 to 9"`
	PortBase   int    `long:"port-base" default:"9000" description:"lowest port of the example"`
}

// Execute prints example settings at the deployment's full size.
func (c *configExampleCommand) Execute([]string) error {
	s, err := settings.Example(c.Deployment, settings.WithVM(c.VM), settings.WithPortBase(c.PortBase))
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return printJSON(s.Document())
}
