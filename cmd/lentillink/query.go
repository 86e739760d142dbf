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
	ID         string       `long:"id" description:"identifier of the request; generated if absent"`
	Rank       string       `long:"rank" choice:"urgent" choice:"ordinary" choice:"patient" default:"ordinary" description:"rank of the request"`
	Service    string       `long:"service" required:"true" description:"service to query"`
	DeadlineMs clock.Millis `long:"deadline-ms" description:"deadline in milliseconds; the preset's default if absent"`
	Args       struct {
		Query string `positional-arg-name:"QUERY" description:"JSON that the upstreams receive" required:"true"`
	} `positional-args:"true"`
}

// Execute sends one query. It exits with 4 unless the answer is complete.
func (c *queryCommand) Execute([]string) error {
	q := entry.QueryRequest{ID: c.ID, Rank: c.Rank, Service: c.Service, Query: json.RawMessage(c.Args.Query)}
	if q.ID == "" {
		q.ID = newID()
	}
	if c.DeadlineMs != 0 {
		q.DeadlineMs = &c.DeadlineMs
	}
	if err := checkJSON("QUERY", c.Args.Query); err != nil {
		return err
	}
	a, err := c.client().Query(q)
	if err != nil {
		return err
	}
	if err := c.print(a); err != nil {
		return err
	}
	if a.Outcome != "complete" {
		return &exitError{code: exitIncomplete}
	}
	return nil
}

func (c *queryCommand) print(a entry.QueryDocument) error {
	if c.JSON {
		return printJSON(a)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		printOutcome(tw, a.ID, a.Outcome, a.Execution)
		printField(tw, "snapshot", a.Snapshot)
		printField(tw, "coverage", fmt.Sprintf("%d of %d keys", a.Coverage.Covered, a.Coverage.Expected))
		for _, gap := range a.Coverage.Missing {
			printField(tw, "missing", fmt.Sprintf("keys %d to %d", gap.From, gap.To-1))
		}
		printField(tw, "rows", len(a.Rows))
		printAnswerInfo(tw, a.AnswerInfo)
	})
}
