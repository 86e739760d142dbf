package main

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

type timelineCommand struct {
	vmFlags
	jsonFlag
	Request  string        `long:"request" description:"only events of this request"`
	Upstream string        `long:"upstream" description:"only events of this upstream, or of the upstreams with this name prefix"`
	Revision uint64        `long:"revision" description:"only events under this preset revision"`
	Kind     string        `long:"kind" description:"only events of this kind"`
	Since    time.Duration `long:"since" description:"only events of the last period, such as 5m"`
	Follow   bool          `long:"follow" description:"keep printing new events"`
	Plot     string        `long:"plot" value-name:"FILE" description:"also plot the events to a .png or .svg file"`
}

// followInterval is the time between two fetches of new events with --follow.
const followInterval = 500 * time.Millisecond

// Execute prints the merged events of all VMs.
func (c *timelineCommand) Execute([]string) error {
	if c.Follow && c.Plot != "" {
		return &exitError{code: exitUsage, err: errors.New("--follow and --plot cannot be combined")}
	}
	client := c.client()
	events, last, err := c.fetch(client, clock.Timestamp{})
	if err != nil {
		return err
	}
	if err := c.print(events); err != nil {
		return err
	}
	if c.Plot != "" {
		return writePlot(c.Plot, events)
	}
	for c.Follow {
		time.Sleep(followInterval)
		if events, last, err = c.fetch(client, last); err != nil {
			return err
		}
		if err := c.print(events); err != nil {
			return err
		}
	}
	return nil
}

// fetch returns the events after a timestamp, and the timestamp of the last event.
func (c *timelineCommand) fetch(client *caller.Client, after clock.Timestamp) ([]timeline.Event, clock.Timestamp, error) {
	args := url.Values{}
	set := func(name, value string) {
		if value != "" {
			args.Set(name, value)
		}
	}
	set("request", c.Request)
	set("upstream", c.Upstream)
	set("kind", c.Kind)
	if c.Revision > 0 {
		set("revision", strconv.FormatUint(c.Revision, 10))
	}
	if c.Since > 0 {
		set("since", c.Since.String())
	}
	if after != (clock.Timestamp{}) {
		set("after_ms", strconv.FormatInt(int64(after.WallMs), 10))
		set("after_logical", strconv.FormatUint(uint64(after.Logical), 10))
	}
	doc, err := client.Events(args)
	if err != nil {
		return nil, after, err
	}
	for _, id := range doc.Unresponsive {
		fmt.Fprintln(os.Stderr, "lentillink: no events from", id+": it did not answer")
	}
	if n := len(doc.Events); n > 0 {
		after = doc.Events[n-1].Timestamp
	}
	return doc.Events, after, nil
}

func (c *timelineCommand) print(events []timeline.Event) error {
	if c.JSON {
		if events == nil {
			return nil
		}
		return printJSON(events)
	}
	for _, ev := range events {
		if _, err := io.WriteString(os.Stdout, formatEvent(ev)+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// formatEvent formats an event as time, VM, kind and key=value pairs.
func formatEvent(ev timeline.Event) string {
	at := time.UnixMilli(int64(ev.Timestamp.WallMs)).UTC().Format("15:04:05.000")
	parts := []string{fmt.Sprintf("%s.%d", at, ev.Timestamp.Logical), ev.VM, string(ev.Kind)}
	addPair := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+strconv.Quote(value))
		}
	}
	addPair("request", ev.Request)
	addPair("rank", ev.Rank)
	addPair("upstream", ev.Upstream)
	if ev.Revision > 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", ev.Revision))
	}
	addPair("detail", ev.Detail)
	return strings.Join(parts, " ")
}

func writePlot(path string, events []timeline.Event) (err error) {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	if format != "png" && format != "svg" {
		return &exitError{code: exitUsage, err: fmt.Errorf("--plot: %q must end in .png or .svg", path)}
	}
	if len(events) == 0 {
		return errors.New("no events to plot")
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return timeline.WritePlot(f, events, format)
}
