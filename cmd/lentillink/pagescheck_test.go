package main

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"lentillink.example/lentillink/experiment"
)

// servedPaths are the HTTP paths that entry VMs and the stand-ins' control address
// serve.
var servedPaths = []string{
	"/v1/query", "/v1/order", "/v1/status", "/v1/events", "/v1/presets", "/healthz", "/readyz", "/metrics", "/fault", "/faults", "/ledger",
}

func checkCommand(words []string) error {
	if len(words) == 0 {
		return errors.New("empty")
	}
	switch args := words[1:]; words[0] {
	case "lentillink":
		return checkLentillink(args)
	case "lentillinkd":
		return checkDaemon(args)
	case "curl":
		return checkCurl(args)
	case "go":
		return checkGo(args)
	case "export":
		return nil
	}
	if name, _, ok := strings.Cut(words[0], "="); ok && strings.ToUpper(name) == name {
		return nil // a shell variable
	}
	return errors.New("not a command that the pages may show")
}

func checkLentillink(args []string) error {
	if err := parseArgs(args); err != nil {
		return err
	}
	if args[0] != "experiment" {
		return nil
	}
	if _, ok := experiment.Find(args[1]); !ok && args[1] != "list" {
		return fmt.Errorf("no experiment %q", args[1])
	}
	return nil
}

// checkDaemon checks the options against those that lentillinkd declares.
func checkDaemon(args []string) error {
	source, err := os.ReadFile(filepath.Join(repoRoot, "cmd", "lentillinkd", "main.go"))
	if err != nil {
		return err
	}
	for _, a := range args {
		name, ok := strings.CutPrefix(a, "--")
		if ok && !strings.Contains(string(source), `long:"`+name+`"`) {
			return fmt.Errorf("no option %s", a)
		}
	}
	return nil
}

func checkCurl(args []string) error {
	for _, a := range args {
		if !strings.HasPrefix(a, "http") {
			continue
		}
		u, err := url.Parse(a)
		if err != nil {
			return err
		}
		if u.Hostname() != "127.0.0.1" {
			return fmt.Errorf("%s is not on loopback", a)
		}
		if !slices.Contains(servedPaths, u.Path) {
			return fmt.Errorf("no path %s", u.Path)
		}
		return nil
	}
	return errors.New("no address")
}

// checkGo checks that the packages exist.
func checkGo(args []string) error {
	for i, a := range args {
		dir, ok := strings.CutPrefix(a, "./")
		if !ok {
			continue
		}
		if _, err := os.Stat(filepath.Join(repoRoot, strings.TrimSuffix(dir, "..."))); err != nil {
			return err
		}
		if args[0] == "run" && a == "./cmd/lentillink" {
			return checkLentillink(args[i+1:])
		}
	}
	return nil
}
