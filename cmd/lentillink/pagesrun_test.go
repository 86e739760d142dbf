package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	pagesTimeout    = 90 * time.Second
	portsPerRun     = 400 // the example uses fewer ports from its port base
	controlPort     = 8999
	firstPort       = 15000 // below the system's ephemeral ports for outgoing connections
	maxPortAttempts = 30
)

// TestPagesRun guards against commands on the pages that parse but fail. It runs
// the blocks of kind run against the deployment that README.md starts.
func TestPagesRun(t *testing.T) {
	for _, tool := range []string{"sh", "curl"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Skipf("%s is not installed", tool)
		}
	}
	r := newPageRunner(t)
	numRun := 0
	for _, page := range []string{"README.md", "docs/callers.md", "docs/OPERATIONS.md"} {
		for _, b := range pageBlocks(t, page) {
			switch b.kind {
			case "run":
				numRun++
				r.run(b)
			case "background":
				r.start(b)
			}
		}
	}
	if numRun == 0 {
		t.Error("no block was run")
	}
}

type pageRunner struct {
	t        *testing.T
	ctx      context.Context
	bin      string
	dir      string
	portBase int
}

func newPageRunner(t *testing.T) *pageRunner {
	// The context of t is cancelled before the cleanups, in which the programs make a planned stop.
	ctx, cancel := context.WithTimeout(context.Background(), pagesTimeout)
	t.Cleanup(cancel)
	r := &pageRunner{t: t, ctx: ctx, bin: t.TempDir(), dir: t.TempDir(), portBase: freePorts(t)}
	build := exec.CommandContext(ctx, "go", "build", "-o", r.bin, "./cmd/lentillink", "./cmd/lentillinkd")
	build.Dir = repoRoot
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return r
}

// freePorts returns a port base from which all ports of the example are free.
func freePorts(t *testing.T) int {
	t.Helper()
	base := firstPort + os.Getpid()%maxPortAttempts*portsPerRun
	for range maxPortAttempts {
		if portsFree(base) {
			return base
		}
		base = firstPort + (base-firstPort+portsPerRun)%(maxPortAttempts*portsPerRun)
	}
	t.Fatal("no free ports")
	return 0
}

func portsFree(base int) bool {
	for port := base; port < base+portsPerRun; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// replacePorts replaces the ports in the commands of the pages by free ones.
func (r *pageRunner) replacePorts(text string) string {
	text = loopbackAddress.ReplaceAllStringFunc(text, func(address string) string {
		port, err := strconv.Atoi(address[strings.Index(address, ":")+1:])
		if err != nil {
			r.t.Fatal(err)
		}
		return r.address(port)
	})
	text = strings.ReplaceAll(text, "config example", fmt.Sprintf("config example --port-base %d", r.portBase))
	return strings.ReplaceAll(text, "run-stand-ins", "run-stand-ins --control "+r.address(controlPort))
}

func (r *pageRunner) address(port int) string {
	if port == controlPort {
		return fmt.Sprintf("127.0.0.1:%d", r.portBase+portsPerRun-1)
	}
	return fmt.Sprintf("127.0.0.1:%d", r.portBase+port-examplePortBase)
}

func (r *pageRunner) command(name string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(r.ctx, name, args...)
	cmd.Dir = r.dir
	cmd.Env = append(os.Environ(), "PATH="+r.bin+":"+os.Getenv("PATH"), "LENTILLINK_VM="+r.address(examplePortBase+10))
	return cmd
}

func (r *pageRunner) run(b codeBlock) {
	out, err := r.command("sh", "-euc", r.replacePorts(b.text)).CombinedOutput()
	if err != nil {
		r.t.Fatalf("%s: %v\n%s\n%s", b.page, err, b.text, out)
	}
}

// start runs each line until the test ends, then expects exit code 0 after SIGTERM.
func (r *pageRunner) start(b codeBlock) {
	for _, line := range strings.Split(strings.TrimSpace(r.replacePorts(b.text)), "\n") {
		words := shellWords(line)
		cmd := r.command(filepath.Join(r.bin, words[0]), words[1:]...)
		var out strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Start(); err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			if err := cmd.Wait(); err != nil {
				r.t.Errorf("%s: %v\n%s", line, err, out.String())
			}
		})
	}
}
