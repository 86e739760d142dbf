package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"lentillink.example/lentillink/platform/soak"
)

type soakCommand struct {
	Seed    uint64          `long:"seed" default:"1" description:"first seed"`
	Seeds   int             `long:"seeds" default:"1" description:"number of seeds, run one after the other"`
	Seconds int             `long:"seconds" default:"10" description:"how long faults are injected for each seed"`
	VMs     int             `long:"vms" default:"3" description:"number of VMs, each a process"`
	Pauses  []time.Duration `long:"pause" value-name:"TIME" description:"pause each VM in turn for this time, such as 3s, in place of random faults; may be repeated"`
	Returns bool            `long:"store-returns" description:"the store comes back from older copies of itself, beside the random faults"`

	Program string `long:"program" value-name:"FILE" description:"path of lentillinkd (default: in the directory of this program)"`
	Logs    string `long:"logs" value-name:"DIR" description:"where logs of seeds that fail are kept (default: a new temporary directory)"`
}

const (
	// maxSoakVMs bounds the processes of one run.
	maxSoakVMs = 300

	maxSoakPause = time.Minute
)

// Execute runs the seeds and keeps the logs of those that fail.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.VMs < 1 || c.VMs > maxSoakVMs {
		return fmt.Errorf("--vms is %d, want 1 to %d", c.VMs, maxSoakVMs)
	}
	for _, d := range c.Pauses {
		if d <= 0 || d > maxSoakPause {
			return fmt.Errorf("--pause is %s, want more than 0s and at most %s", d, maxSoakPause)
		}
	}
	program, dir, err := c.paths()
	if err != nil {
		return err
	}
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		logs := filepath.Join(dir, fmt.Sprint(seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return err
		}
		err := soak.Run(ctx, soak.Options{
			Seed: seed, Duration: time.Duration(c.Seconds) * time.Second, VMs: c.VMs, Program: program, Dir: logs, Out: os.Stdout,
			Pauses: c.Pauses, StoreReturns: c.Returns,
		})
		if err == nil {
			if err := os.RemoveAll(logs); err != nil {
				return err
			}
			continue
		}
		failed++
		fmt.Printf("%v\nlogs: %s\n", err, logs)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, c.Seeds)
	}
	return ctx.Err()
}

func (c *soakCommand) paths() (program, dir string, err error) {
	program, dir = c.Program, c.Logs
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return "", "", err
		}
		program = filepath.Join(filepath.Dir(self), "lentillinkd")
	}
	if _, err := os.Stat(program); err != nil {
		return "", "", errors.Join(errors.New("--program must be the path of lentillinkd"), err)
	}
	if dir == "" {
		dir, err = os.MkdirTemp("", "lentillink-soak-")
	}
	return program, dir, err
}
