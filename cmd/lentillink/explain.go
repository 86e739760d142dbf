package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/explain"
)

type explainCommand struct {
	vmFlags
	jsonFlag
	Host        string       `long:"host" required:"true" description:"host of the request"`
	Path        string       `long:"path" required:"true" description:"path of the request, with its query string"`
	Customer    string       `long:"customer" description:"name of the customer, instead of its key"`
	KeyStdin    bool         `long:"key-stdin" description:"read the key of the customer from the first line of standard input"`
	RemainingMs clock.Millis `long:"remaining-ms" description:"time that the caller has, in milliseconds; 0 if it does not say"`
	Services    []string     `long:"service" value-name:"NAME" description:"explain as the carrier to which another VM hands this service over; may be repeated"`
	Parts       int          `long:"parts" description:"how many parts of a gathered request to describe; 0 for 5"`
}

// Execute prints where the request would go.
func (c *explainCommand) Execute([]string) error {
	q, err := c.question(os.Stdin)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	doc, err := caller.New(c.VM, caller.WithTimeout(c.TimeoutMs)).Explain(q)
	if err != nil {
		return explainFailure(c.VM, err)
	}
	if c.JSON {
		err = printJSON(doc)
	} else {
		err = explain.WriteText(os.Stdout, &doc)
	}
	if err != nil {
		return err
	}
	return c.verdict(q, &doc)
}

// question returns the question that the flags describe.
func (c *explainCommand) question(stdin io.Reader) (explain.Question, error) {
	q := explain.Question{Host: c.Host, Path: c.Path, Customer: c.Customer, RemainingMs: c.RemainingMs, Parts: c.Parts, Services: c.Services}
	switch {
	case c.KeyStdin:
		key, err := readKey(stdin)
		if err != nil {
			return q, err
		}
		q.Key = key
	case c.Customer == "":
		q.Key = os.Getenv(keyVariable)
	}
	return q, q.Validate()
}

// readKey reads a key from the first line of r.
func readKey(r io.Reader) (string, error) {
	line, err := bufio.NewReader(io.LimitReader(r, explain.MaxNameBytes+1)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("key-stdin: %w", err)
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return "", errors.New("key-stdin: standard input holds no key")
	}
	return key, nil
}

// explainFailure returns an error that says what to check if a VM does not answer.
func explainFailure(vm string, err error) error {
	var callErr *caller.Error
	if errors.As(err, &callErr) {
		switch callErr.Kind() {
		case caller.KindInvalid:
			return &exitError{code: exitUsage, err: err}
		case caller.KindDecode:
			return fmt.Errorf("%s does not explain: --vm must be the metrics address of a gateway VM of this release or a later one: %w", vm, err)
		case caller.KindUnavailable:
		}
	}
	return fmt.Errorf("VM %s is not reachable or does not answer: %w", vm, err)
}

// verdict returns the error whose code shows what becomes of the request.
func (c *explainCommand) verdict(q explain.Question, doc *explain.Document) error {
	switch doc.Verdict() {
	case explain.NoRoute:
		return &exitError{code: exitNoRoute, err: fmt.Errorf("no route of configuration %d matches host %q and this path", doc.Version, c.Host)}
	case explain.NoCustomer:
		return &exitError{code: exitNoCustomer, err: errors.New(customerProblem(q, doc))}
	case explain.Refused:
		return &exitError{code: exitIncomplete} // the text says why
	case explain.Served:
	}
	return nil
}

func customerProblem(q explain.Question, doc *explain.Document) string {
	switch {
	case q.Customer != "":
		return fmt.Sprintf("customer %q is not known in configuration %d", q.Customer, doc.Version)
	case q.Key != "":
		return fmt.Sprintf("no customer of configuration %d has this key", doc.Version)
	}
	return fmt.Sprintf("route %s needs a customer: set %s, pipe the key to --key-stdin, or name the customer with --customer", doc.Route, keyVariable)
}
