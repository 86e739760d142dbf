package main

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/clock"
)

// vmFlags select the entry VM to connect to. Any VM answers for the whole fleet.
type vmFlags struct {
	VM        string       `long:"vm" env:"LENTILLINK_VM" default:"127.0.0.1:9010" value-name:"HOST:PORT" description:"address of any entry VM"`
	TimeoutMs clock.Millis `long:"timeout-ms" default:"30000" description:"longest wait for an answer, in milliseconds"`
}

// keyVariable names the environment variable with the key of a customer. There is no flag
// for it, because other users see the arguments of a process.
const keyVariable = "LENTILLINK_KEY"

func (f *vmFlags) client() *caller.Client {
	return caller.New(f.VM, caller.WithTimeout(f.TimeoutMs), caller.WithKey(os.Getenv(keyVariable)))
}

// jsonFlag selects machine-readable output.
type jsonFlag struct {
	JSON bool `long:"json" description:"print JSON"`
}

func printJSON(doc any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(doc)
}

// printTable prints aligned columns.
func printTable(w io.Writer, write func(tw *tabwriter.Writer)) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(tw)
	return tw.Flush()
}
