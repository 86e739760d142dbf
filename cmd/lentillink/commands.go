package main

import "github.com/jessevdk/go-flags"

// newParser returns the parser with every command.
func newParser() *flags.Parser {
	p := flags.NewNamedParser("lentillink", flags.HelpFlag|flags.PassDoubleDash)
	add(p, "demo", "Run a whole deployment in one process",
		"Starts the stand-ins of one deployment and several entry VMs, sends queries and orders of all ranks, switches a preset, slows an upstream, and checks what must always hold.",
		&demoCommand{})
	return p
}

// commander is where a command can be added: the parser or a command with subcommands.
type commander interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// add registers a command. A mistake in its tags is a mistake in this program.
func add(to commander, name, short, long string, data any) *flags.Command {
	cmd, err := to.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return cmd
}
