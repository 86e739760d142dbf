package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
)

type queryCommand struct {
	vmFlags
	jsonFlag
	ID         string       `long:"id" description:"identifier of the request; made up if absent"`
	Rank       string       `long:"rank" choice:"urgent" choice:"ordinary" choice:"patient" default:"ordinary" description:"rank of the request"`
	Service    string       `long:"service" required:"true" description:"service to ask"`
	DeadlineMs clock.Millis `long:"deadline-ms" description:"deadline in milliseconds; the preset's default if absent"`
	Args       struct {
		Query string `positional-arg-name:"QUERY" description:"JSON that the upstreams receive" required:"true"`
	} `positional-args:"true"`
}

// Execute asks one question. It exits with 4 unless the answer is complete.
func (c *queryCommand) Execute([]string) error {
	q := entry.QueryRequest{ID: c.ID, Rank: c.Rank, Service: c.Service, Query: json.RawMessage(c.Args.Query)}
	if q.ID == "" {
		q.ID = newID()
	}
	if c.DeadlineMs != 0 {
		q.DeadlineMs = &c.DeadlineMs
	}
	if !json.Valid(q.Query) {
		return &exitError{code: exitUsage, err: fmt.Errorf("QUERY: %q is not valid JSON", c.Args.Query)}
	}
	a, err := c.client().Query(q)
	if err != nil {
		return err
	}
	if err := c.print(a); err != nil {
		return err
	}
	if a.Outcome != "complete" {
		return &exitError{code: exitPartial}
	}
	return nil
}

func (c *queryCommand) print(a entry.QueryDocument) error {
	if c.JSON {
		return printJSON(a)
	}
	return table(os.Stdout, func(tw *tabwriter.Writer) {
		pair(tw, "id", a.ID)
		pair(tw, "outcome", a.Outcome)
		pair(tw, "ran", a.Ran)
		pair(tw, "snapshot", a.Snapshot)
		pair(tw, "coverage", fmt.Sprintf("%d of %d keys", a.Coverage.Covered, a.Coverage.Expected))
		for _, gap := range a.Coverage.Missing {
			pair(tw, "missing", fmt.Sprintf("keys %d to %d", gap.From, gap.To-1))
		}
		pair(tw, "rows", len(a.Rows))
		pair(tw, "preset", fmt.Sprintf("%s, revision %d", a.Preset, a.Revision))
		pair(tw, "vm", a.VM)
		pair(tw, "took", fmt.Sprintf("%d ms", a.TookMs))
		reason(tw, a.Reason, a.RetryAfterMs)
	})
}

type orderCommand struct {
	vmFlags
	jsonFlag
	ID      string `long:"id" description:"identifier as <unix ms>-<random>; repeat an order with the same identifier"`
	Rank    string `long:"rank" choice:"urgent" choice:"ordinary" choice:"patient" default:"ordinary" description:"rank of the request"`
	Service string `long:"service" required:"true" description:"service that takes the order"`
	Group   string `long:"group" required:"true" description:"group of the service"`
	Args    struct {
		Body string `positional-arg-name:"BODY" description:"JSON that the upstream receives" required:"true"`
	} `positional-args:"true"`
}

// Execute submits one order. It exits with 4 unless the order was done.
func (c *orderCommand) Execute([]string) error {
	o := entry.OrderRequest{ID: c.ID, Rank: c.Rank, Service: c.Service, Group: c.Group, Body: json.RawMessage(c.Args.Body)}
	if o.ID == "" {
		o.ID = newID()
		fmt.Fprintln(os.Stderr, "order id:", o.ID)
	}
	if !json.Valid(o.Body) {
		return &exitError{code: exitUsage, err: fmt.Errorf("BODY: %q is not valid JSON", c.Args.Body)}
	}
	a, err := c.client().Order(o)
	if err != nil {
		return err
	}
	if err := c.print(a); err != nil {
		return err
	}
	if a.Outcome != "done" {
		return &exitError{code: exitPartial}
	}
	return nil
}

func (c *orderCommand) print(a entry.OrderDocument) error {
	if c.JSON {
		return printJSON(a)
	}
	return table(os.Stdout, func(tw *tabwriter.Writer) {
		pair(tw, "id", a.ID)
		pair(tw, "outcome", a.Outcome)
		pair(tw, "ran", a.Ran)
		if len(a.Body) > 0 {
			pair(tw, "body", string(a.Body))
		}
		pair(tw, "preset", fmt.Sprintf("%s, revision %d", a.Preset, a.Revision))
		pair(tw, "vm", a.VM)
		pair(tw, "took", fmt.Sprintf("%d ms", a.TookMs))
		reason(tw, a.Reason, a.RetryAfterMs)
	})
}

func pair(tw *tabwriter.Writer, name string, value any) {
	_, _ = fmt.Fprintf(tw, "%s\t%v\n", name, value)
}

func reason(tw *tabwriter.Writer, text string, retryAfter clock.Millis) {
	if text != "" {
		pair(tw, "reason", text)
	}
	if retryAfter > 0 {
		pair(tw, "retry after", fmt.Sprintf("%d ms", retryAfter))
	}
}
