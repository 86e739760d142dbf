// Package kit runs the cases of the review: it starts the gateway as separate
// processes on loopback addresses, with stand-ins of the platform around them, and
// records what was sent, answered and run.
package kit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentillink.example/lentillink/clock"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// program is the deploy file's program, relative to the repository's root.
const program = "target/lentillinkd"

// Run is one run of a case.
type Run struct {
	dir    string // temporary folder
	record *os.File
	start  clock.Millis
	clock  clock.Monotonic

	mu       sync.Mutex
	vms      []*VM
	nextPort int
	ended    bool // no process is started any more
}

// Main runs a case in the repository's root and returns its exit code. args are the
// folder of the record, and 1 for the case as it is or 0 for the same without the
// disruption. The case returns the violations that it has seen.
func Main(args []string, run func(r *Run, trouble bool) (violations []string, err error)) int {
	if len(args) != 2 || args[1] != "0" && args[1] != "1" {
		fmt.Fprintln(os.Stderr, "want a folder and 0 or 1 as arguments, got", args)
		return ExitNotRun
	}
	folder, trouble := args[0], args[1] == "1"
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer func() { _ = record.Close() }()
	r := &Run{dir: dir, record: record, clock: clock.NewMonotonic()}
	r.start = r.clock.Now()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.Logf("not run: %v", <-interrupted)
		r.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(ExitNotRun)
	}()
	r.Logf("trouble %v", trouble)
	violations, err := run(r, trouble)
	r.stopAll()
	if err != nil {
		r.Logf("not run: %v", err)
		fmt.Println("not run:", err)
		return ExitNotRun
	}
	for _, v := range violations {
		r.Logf("violation: %s", v)
	}
	r.Logf("violations: %d", len(violations))
	fmt.Println("violations:", len(violations))
	if len(violations) > 0 {
		fmt.Println("first:", violations[0])
		return ExitBroken
	}
	return ExitHeld
}

// Now returns the time since the start of the run, in milliseconds.
func (r *Run) Now() clock.Millis { return r.clock.Now() - r.start }

// Wall returns the time of day.
func (r *Run) Wall() clock.Millis { return clock.System{}.Now() }

// TimeOf returns the time of the run at a time of day.
func (r *Run) TimeOf(t time.Time) clock.Millis {
	return r.Now() - (r.Wall() - clock.Millis(t.UnixMilli()))
}

// Logf writes a line to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7d ms  %s\n", int64(r.Now()), fmt.Sprintf(format, args...))
}

// Sleep waits for d.
func Sleep(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	<-ctx.Done()
}

// SleepUntil waits until a time of the run.
func (r *Run) SleepUntil(at clock.Millis) {
	if wait := at - r.Now(); wait > 0 {
		Sleep(wait.Duration())
	}
}

// VM is one process of the gateway.
type VM struct {
	Name, DataCentre string
	Callers          string // address for requests
	ready            string
	run              *Run
	settings         string
	cmd              *exec.Cmd
	exited           chan struct{}
	log              *os.File
}

// settingsText has the fields of deploy/settings.json, with the values of a small
// installation.
const settingsText = `{
  "vm": %q,
  "data_centre": %q,
  "callers": %q,
  "ready": %q,
  "peers": %q,
  "metrics": %q,
  "store": %q,
  "grace_s": 6,
  "drain_ms": 3000,
  "cpu_share": 0.4,
  "memory_mb": 284,
  "retry_budget": { "ratio": 0.2, "extra": 58, "window_s": 10 }
}
`

// Ports of the VMs and of other listeners that are opened again. They lie below the ports
// that the kernel assigns by itself, so that no connection takes one meanwhile.
const (
	firstPort   = 20_000
	portCount   = 12_000
	portsPerRun = 50
)

var errNoPort = errors.New("no port is free")

// FreeAddress returns a loopback address that nothing listens on, each one once.
func (r *Run) FreeAddress() (string, error) {
	for range portCount {
		r.mu.Lock()
		r.nextPort++
		port := firstPort + (os.Getpid()*portsPerRun+r.nextPort)%portCount
		r.mu.Unlock()
		lis, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			return lis.Addr().String(), lis.Close()
		}
	}
	return "", errNoPort
}

// StartVM starts a VM that reads the store at an address.
func (r *Run) StartVM(name, dataCentre, store string) (*VM, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = r.FreeAddress(); err != nil {
			return nil, err
		}
	}
	v := &VM{
		Name: name, DataCentre: dataCentre, Callers: addresses[0], ready: addresses[1], run: r,
		settings: filepath.Join(r.dir, name+".json"),
	}
	text := fmt.Sprintf(settingsText, name, dataCentre, addresses[0], addresses[1], addresses[2], addresses[3], store)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	v.log = logFile
	r.mu.Lock()
	r.vms = append(r.vms, v)
	r.mu.Unlock()
	return v, v.Start()
}

var errEnded = errors.New("the run has ended")

// Start starts the process of the VM.
func (v *VM) Start() error {
	cmd, exited, err := v.startProcess()
	if err != nil {
		return err
	}
	go func() {
		err := cmd.Wait()
		v.run.Logf("%s: process ended: %v", v.Name, err)
		close(exited)
	}()
	v.run.Logf("%s: process started in data centre %s", v.Name, v.DataCentre)
	return nil
}

func (v *VM) startProcess() (*exec.Cmd, chan struct{}, error) {
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if v.run.ended {
		return nil, nil, errEnded
	}
	cmd := exec.Command(program, "--gateway")
	cmd.Env = append(os.Environ(), "LENTILLINK_SETTINGS="+v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	return cmd, v.exited, nil
}

// Kill sends SIGKILL and waits for the end of the process.
func (v *VM) Kill() {
	v.run.Logf("%s: SIGKILL", v.Name)
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// Signal sends a signal to the process.
func (v *VM) Signal(sig syscall.Signal) error {
	v.run.Logf("%s: signal %v", v.Name, sig)
	return v.cmd.Process.Signal(sig)
}

// Exited returns a channel that is closed once the process has ended.
func (v *VM) Exited() <-chan struct{} { return v.exited }

// LogLines returns the lines of the process's log that contain text.
func (v *VM) LogLines(text string) []string {
	data, err := os.ReadFile(v.log.Name())
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

var errNotReady = errors.New("a VM is not ready")

// AwaitReady waits until all VMs report themselves ready.
func (r *Run) AwaitReady() error {
	for range 300 {
		r.mu.Lock()
		ready := 0
		for _, v := range r.vms {
			if v.isReady() {
				ready++
			}
		}
		all := ready == len(r.vms)
		r.mu.Unlock()
		if all {
			return nil
		}
		Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// killAll kills the processes, and keeps further ones from being started.
func (r *Run) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, v := range r.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
		}
	}
}

func (r *Run) stopAll() {
	r.mu.Lock()
	vms := r.vms
	r.mu.Unlock()
	for _, v := range vms {
		if v.cmd != nil && v.cmd.Process != nil && v.exited != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
		if text := os.Getenv("KEEP_LOGS"); text != "" {
			if data, err := os.ReadFile(v.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(text, v.Name+".log"), data, 0o600)
			}
		}
		_ = v.log.Close()
	}
}
