package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"lentillink.example/lentillink/entry"
)

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
	if err := checkJSON("BODY", c.Args.Body); err != nil {
		return err
	}
	a, err := c.client().Order(o)
	if err != nil {
		return err
	}
	if err := c.print(a); err != nil {
		return err
	}
	if a.Outcome != "done" {
		return &exitError{code: exitIncomplete}
	}
	return nil
}

func (c *orderCommand) print(a entry.OrderDocument) error {
	if c.JSON {
		return printJSON(a)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		printOutcome(tw, a.ID, a.Outcome, a.Execution)
		if len(a.Body) > 0 {
			printField(tw, "body", string(a.Body))
		}
		printAnswerInfo(tw, a.AnswerInfo)
	})
}
