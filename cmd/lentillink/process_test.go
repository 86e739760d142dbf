package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/platform/soak"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
)

// waitTimeout bounds every wait for a condition, also on a busy machine.
const waitTimeout = 30 * time.Second

// binDir holds the programs that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	if binDir, err = os.MkdirTemp("", "lentillink-test-"); err != nil {
		return 1, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(binDir)) }()
	out, err := exec.Command("go", "build", "-o", binDir+"/", ".", "../lentillinkd").CombinedOutput()
	if err != nil {
		return 1, fmt.Errorf("go build: %w: %s", err, out)
	}
	return m.Run(), nil
}

// testPlatform holds the stand-ins that the daemons connect to.
type testPlatform struct {
	*standin.Deployment
	dir string
}

func startTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	example, err := settings.Example("hautakukka")
	if err != nil {
		t.Fatal(err)
	}
	doc := example.Document()
	search, orders := doc.Services[0], doc.Services[1]
	search.Groups, search.Keys = search.Groups[:4], search.Groups[3].To
	orders.Groups = orders.Groups[:4]
	doc.Services = []settings.Service{search, orders}
	cfg, err := settings.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	d, err := standin.StartDeployment(context.WithoutCancel(t.Context()), cfg, standin.WithFreePorts())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	return &testPlatform{Deployment: d, dir: t.TempDir()}
}

// daemon is one lentillinkd process.
type daemon struct {
	cmd     *exec.Cmd
	address string
	client  *caller.Client
	log     *bytes.Buffer // read only after the process has exited
	exited  chan error
}

func (p *testPlatform) start(t *testing.T, id string) *daemon {
	t.Helper()
	doc := p.Settings().Document()
	doc.VM = id
	doc.Addresses = settings.Addresses{Callers: freeAddress(t), Peers: freeAddress(t), Admin: freeAddress(t)}
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(p.dir, id+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: doc.Addresses.Callers, log: &bytes.Buffer{}, exited: make(chan error, 1)}
	d.client = caller.New(d.address)
	d.cmd = exec.Command(filepath.Join(binDir, "lentillinkd"), "--settings", file)
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { d.exited <- d.cmd.Wait() }()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		d.waitExit(t)
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", id, tail(d.log.String(), 2000))
		}
	})
	if err := p.VMList().Register(roster.VM{ID: id, Address: doc.Addresses.Peers, DataCentre: doc.DataCentre}); err != nil {
		t.Fatal(err)
	}
	return d
}

// startAll starts daemons and waits until each is ready and has discovered the
// others.
func (p *testPlatform) startAll(t *testing.T, n int) []*daemon {
	t.Helper()
	list := make([]*daemon, n)
	for i := range list {
		list[i] = p.start(t, fmt.Sprintf("vm-%d", i+1))
	}
	for _, d := range list {
		waitUntil(t, "the daemon is ready and has discovered the others", func() bool {
			s, err := d.client.FleetStatus()
			return err == nil && len(s.VMs) == n && d.client.Ready()
		})
	}
	return list
}

// waitExit returns the exit code, -1 if a signal ended the process.
func (d *daemon) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case err := <-d.exited:
		d.exited <- err
		return d.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout + 35*time.Second): // the drain limit is 30 s
		t.Fatal("the daemon did not exit in time")
		return 0
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := soak.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", waitTimeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// lentillink runs the command line and returns its exit code and output.
func lentillink(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var stdoutBuf, stderrBuf bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "lentillink"), args...)
	cmd.Stdout, cmd.Stderr = io.Writer(&stdoutBuf), io.Writer(&stderrBuf)
	err := cmd.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdoutBuf.String(), stderrBuf.String()
}
