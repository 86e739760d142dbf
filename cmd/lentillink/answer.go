package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/entry"
)

// checkJSON returns a usage error if an argument is not valid JSON.
func checkJSON(name, value string) error {
	if !json.Valid([]byte(value)) {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: %q is not valid JSON", name, value)}
	}
	return nil
}

// printOutcome prints the outcome and the execution state of a request.
func printOutcome(tw *tabwriter.Writer, id, outcome string, execution attempt.Execution) {
	printField(tw, "id", id)
	printField(tw, "outcome", outcome)
	printField(tw, "ran", execution)
}

// printAnswerInfo prints which VM answered under which preset, and why the answer
// is incomplete.
func printAnswerInfo(tw *tabwriter.Writer, o entry.AnswerInfo) {
	printField(tw, "preset", fmt.Sprintf("%s, revision %d", o.Preset, o.Revision))
	printField(tw, "vm", o.VM)
	printField(tw, "took", fmt.Sprintf("%d ms", o.TookMs))
	if o.Reason != "" {
		printField(tw, "reason", o.Reason)
	}
	if o.RetryAfterMs > 0 {
		printField(tw, "retry after", fmt.Sprintf("%d ms", o.RetryAfterMs))
	}
}

func printField(tw *tabwriter.Writer, name string, value any) {
	_, _ = fmt.Fprintf(tw, "%s\t%v\n", name, value)
}
