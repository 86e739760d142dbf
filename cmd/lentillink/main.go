// Command lentillink is the operators' command line. It also holds the demo,
// the stand-ins and the experiments.
//
// Exit codes: 0 success, 1 the command or a check failed, 2 the arguments are
// invalid, 3 a change was rejected or is not confirmed by every VM, 4 an answer
// is partial or a request was refused, or would be, 5 no route matches, 6 a
// customer is not known.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitUnconfirmed = 3
	exitIncomplete  = 4
	exitNoRoute     = 5
	exitNoCustomer  = 6
)

// exitError ends the program with an exit code. Its message is empty if the
// command has already printed the result.
type exitError struct {
	code int
	err  error
}

// Error returns the message.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := newParser()
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr):
		return reportUsage(flagsErr)
	case errors.As(err, &exitErr):
		if text := exitErr.Error(); text != "" {
			fmt.Fprintln(os.Stderr, "lentillink:", text)
		}
		printConnectHint(err)
		return exitErr.code
	}
	fmt.Fprintln(os.Stderr, "lentillink:", err)
	printConnectHint(err)
	return exitFailed
}

// printConnectHint prints what to check if the connection to the VM failed.
func printConnectHint(err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		fmt.Fprintln(os.Stderr, "Check that lentillinkd is running at this address; --vm or LENTILLINK_VM selects another VM.")
	}
}

func reportUsage(err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		fmt.Println(err.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "lentillink:", err.Message)
	return exitUsage
}
