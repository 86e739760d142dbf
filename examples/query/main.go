// Command query starts a whole deployment on loopback and sends it one query.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out io.Writer) (err error) {
	fleet, err := demo.StartFleet(ctx, "hautakukka", 3, log.NewNopLogger())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	answer, err := fleet.Caller(0).Query(entry.QueryRequest{
		ID: "example-1", Rank: "ordinary", Service: "search", Query: json.RawMessage(`{"name":"Virtanen"}`),
	})
	if err != nil {
		return err
	}
	// A partial answer is still useful, but its missing keys must be shown.
	_, err = fmt.Fprintf(out, "%s: %d of %d keys from snapshot %d, missing %v\n",
		answer.Outcome, answer.Coverage.Covered, answer.Coverage.Expected, answer.Snapshot, answer.Coverage.Missing)
	return err
}
