package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/vm"
)

type statusCommand struct {
	vmFlags
	jsonFlag
}

// Execute prints one line per VM, then the upstreams that VMs avoid.
func (c *statusCommand) Execute([]string) error {
	doc, err := c.client().FleetStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(doc)
	}
	if err := printTable(os.Stdout, func(tw *tabwriter.Writer) { statusTable(tw, doc) }); err != nil {
		return err
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) { avoidedTable(tw, doc) })
}

func statusTable(tw *tabwriter.Writer, doc entry.FleetStatus) {
	_, _ = fmt.Fprintln(tw, "VM\tDATA CENTRE\tREADY\tPRESET\tREVISION\tRUNNING u/o/p\tQUEUED u/o/p\tORDERS")
	for _, v := range doc.VMs {
		ready := "yes"
		if !v.Ready {
			ready = "no: " + v.Reason
		}
		if v.Stale {
			ready += ", stale: store and peers unreachable"
		}
		running, queued := formatLoad(v)
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n",
			v.VM, v.DataCentre, ready, v.Preset, v.Revision, running, queued, v.OpenOrders)
	}
	for _, id := range doc.Unresponsive {
		_, _ = fmt.Fprintf(tw, "%s\t?\tno answer\t?\t?\t?\t?\t?\n", id)
	}
}

// formatLoad formats the running and queued requests by rank.
func formatLoad(v vm.Status) (running, queued string) {
	var r, q [3]int
	for _, l := range v.Load {
		r[l.Rank] += l.Running
		q[l.Rank] += l.Queued
	}
	return fmt.Sprintf("%d/%d/%d", r[0], r[1], r[2]), fmt.Sprintf("%d/%d/%d", q[0], q[1], q[2])
}

func avoidedTable(tw *tabwriter.Writer, doc entry.FleetStatus) {
	vmsByKey := make(map[string][]string)
	var keys []string
	for _, v := range doc.VMs {
		for _, a := range v.Avoided {
			key := fmt.Sprintf("%s\t%s", a.ID, a.Reason)
			if vmsByKey[key] == nil {
				keys = append(keys, key)
			}
			vmsByKey[key] = append(vmsByKey[key], v.VM)
		}
	}
	if len(keys) == 0 {
		return
	}
	_, _ = fmt.Fprintln(tw, "\nAVOIDED UPSTREAM\tWHY\tBY")
	for _, key := range keys {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", key, strings.Join(vmsByKey[key], " "))
	}
}
