// Command order submits an order and safely repeats it, as a caller does that
// did not receive the first answer.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

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
	order := entry.OrderRequest{
		// The id contains its issue time. A repeated order must use the same id.
		ID:   fmt.Sprintf("%d-example", time.Now().UnixMilli()),
		Rank: "ordinary", Service: "orders", Group: "desk-01", Body: json.RawMessage(`{"flowers":"heather"}`),
	}
	for vm := range 3 { // through any VM
		answer, err := fleet.Caller(vm).Order(order)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: ran %s\n", answer.Outcome, answer.Execution); err != nil {
			return err
		}
	}
	ledger := fleet.Standins.Ledger()
	_, err = fmt.Fprintf(out, "the upstreams ran %d order %d time\n", ledger.Orders, ledger.Executions)
	return err
}
