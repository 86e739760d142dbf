package main

import (
	"strings"

	"github.com/jessevdk/go-flags"
)

const completionHelp = `Shell completion: with GO_FLAGS_COMPLETION=1 in its environment the program prints the completions of its last argument. For bash:
  _lentillink() { local IFS=$'\n'; COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}")); }
  complete -F _lentillink lentillink`

// newParser returns the parser with every command.
func newParser() *flags.Parser {
	p := flags.NewNamedParser("lentillink", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = completionHelp
	addCommand(p, "demo", "Run a whole deployment in one process",
		"Starts the stand-ins of one deployment and several entry VMs, sends queries and orders of all ranks, switches a preset, slows an upstream, and checks the invariants.",
		&demoCommand{})
	addCommand(p, "run-stand-ins", "Serve stand-ins for the store, the VM list and the upstreams",
		"Serves the addresses in settings files until it is interrupted. Faults are set with POST /fault on the control address; GET /faults there lists them.",
		&standInsCommand{})
	addCommand(p, "query", "Send one query", "Exits with 4 unless the answer is complete.", &queryCommand{})
	addCommand(p, "soak", "Run VMs as processes and inject faults",
		"Runs one scenario per seed: VMs are killed, paused, stopped and disconnected, the store and upstreams fail, and the results at callers and upstreams are checked. Exits with 1 if a guarantee is violated.",
		&soakCommand{})
	addCommand(p, "order", "Submit one order", "Repeating an order with the same --id is safe. Exits with 4 unless the order was done.", &orderCommand{})
	addCommand(p, "status", "Show the status of every VM", "Shows readiness, preset, load and avoided upstreams of every VM.", &statusCommand{})
	addCommand(p, "timeline", "Show the events of all VMs", "Merges the events of all VMs in causal order.", &timelineCommand{})
	addCommand(p, "bench", "Measure one entry VM",
		"Runs one entry VM and the stand-in upstreams of many shards in this process, and compares queries with hedging off and on.",
		&benchCommand{})
	addCommand(p, "experiment", "Run a seeded experiment",
		"Prints each figure beside its baseline and its bound; a bound is stated in docs/design.md. Exits with 1 if a bound is missed. The names are "+
			strings.Join(experimentNames(), ", ")+", and list, which describes them.",
		&experimentCommand{})
	addCommand(p, "explain", "Explain where a request would go",
		"Asks a VM on the users' platform, at its metrics address, what it would do with a request now, and why. Nothing is sent. The key of the customer is read from "+
			keyVariable+" or, with --key-stdin, from standard input. Exits with 0 if the request would be served, 4 if it would be refused, 5 if no route matches, 6 if the customer is not known.",
		&explainCommand{})
	addConfig(p)
	addPreset(p)
	return p
}

func addConfig(p *flags.Parser) {
	config := addCommand(p, "config", "Check and print settings", "Settings are one JSON file per VM.", &struct{}{})
	addCommand(config, "validate", "Check a settings file", "Prints every problem with the path of its field. Exits with 2 if there is one.", &configValidateCommand{})
	addCommand(config, "example", "Print example settings", "Prints settings at the full size of a deployment, on loopback addresses.", &configExampleCommand{})
}

func addPreset(p *flags.Parser) {
	presets := addCommand(p, "preset", "Show and change presets", "Exactly one preset is in force at any time.", &struct{}{})
	addCommand(presets, "list", "List the presets", "Marks the one in force.", &presetListCommand{})
	addCommand(presets, "show", "Print a preset as JSON", "Prints the document that preset edit takes.", &presetShowCommand{})
	addCommand(presets, "explain", "Explain what each rank gets", "Describes the settings of each rank in sentences, from the preset alone.", &presetExplainCommand{})
	addCommand(presets, "diff", "Compare two presets", "Lists the fields that differ.", &presetDiffCommand{})
	addCommand(presets, "switch", "Put another preset in force", "Reports on how many VMs it is in force and which VMs have not confirmed it. Exits with 3 if it was rejected or a VM has not confirmed it.", &presetSwitchCommand{})
	addCommand(presets, "edit", "Replace or add a preset", "The document is validated first; an invalid one changes nothing.", &presetEditCommand{})
	addCommand(presets, "history", "Show past changes", "Shows who changed what, when and why.", &presetHistoryCommand{})
}

// commandParent accepts commands: the parser or a command with subcommands.
type commandParent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addCommand registers a command. It panics if the struct tags of data are
// invalid, which is a programming error.
func addCommand(parent commandParent, name, short, long string, data any) *flags.Command {
	cmd, err := parent.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return cmd
}
