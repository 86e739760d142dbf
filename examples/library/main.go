// Command library embeds one entry VM with a store and a VM list in memory.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream/httpup"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out io.Writer) (err error) {
	example, err := settings.Example("pondslip")
	if err != nil {
		return err
	}
	// Only the upstreams of the stand-ins are used here.
	upstreams, err := standin.StartDeployment(ctx, example, standin.WithFreePorts())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, upstreams.Close()) }()
	cfg := upstreams.Settings()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	client := httpup.New(httpup.WithServices(cfg.Services()...))
	defer client.Close()
	vm, err := entry.New(cfg, entry.WithStore(&memoryStore{entries: make(map[string]store.Entry)}), entry.WithUpstreams(client),
		entry.WithVMList(fixedList{roster.VM{ID: cfg.VM(), Address: peers.Addr().String(), DataCentre: cfg.DataCentre()}}),
		entry.WithListeners(peers, callers), entry.WithBalancerWait(0))
	if err != nil {
		return err
	}
	vmCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- vm.Run(vmCtx) }()
	err = query(ctx, caller.New(callers.Addr().String()), out)
	stop() // a planned stop
	return errors.Join(err, <-done)
}

func query(ctx context.Context, c *caller.Client, out io.Writer) error {
	for !c.Ready() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	a, err := c.Query(entry.QueryRequest{ID: "1", Rank: "urgent", Service: "search", Query: json.RawMessage(`{}`)})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d of %d keys, preset %s, revision %d\n",
		a.Outcome, a.Coverage.Covered, a.Coverage.Expected, a.Preset, a.Revision)
	return err
}
