package cli

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// daemonArgsVariable is the environment variable that makes the test binary run as the
// daemon. Its value holds the daemon's arguments.
const daemonArgsVariable = "JUNCTIONFOLD_TEST_DAEMON"

func TestMain(m *testing.M) {
	if args := os.Getenv(daemonArgsVariable); args != "" {
		os.Exit(Daemon(strings.Fields(args), os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// edgeTemplate is the settings file of an edge VM with placeholders for its
// addresses.
const edgeTemplate = `
[vm]
id = vm-1
zone = north
memory_mb = 200
cpu_share = 0.5
cpu_cores = 1
[listen]
door = %s
ready = %s
peer = %s
[store]
address = %s
[times]
grace_s = 1
drain_ms = 1000
config_apply_ms = 2000
[retry]
ratio = 0.2
slack = 50
[orders]
lease_ms = 3000
load_over = 1.1
`

// edgeSettings writes the settings file of an edge VM whose store is unreachable and
// returns its path.
func edgeSettings(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "edge.ini")
	text := fmt.Sprintf(edgeTemplate, freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t))
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// startEdge starts the edge role in a separate process and returns the command and
// a scanner of its log.
func startEdge(t *testing.T) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	// The test process may ignore SIGHUP, and a child process inherits ignored
	// signals. A signal that the parent handles has its default action in the child.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Stop(handled)
	executable, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), daemonArgsVariable+"=edge --settings "+edgeSettings(t))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // still running only if the test failed
	return cmd, bufio.NewScanner(out)
}

// readUntil reads the log up to and including the line of an event.
func readUntil(t *testing.T, lines *bufio.Scanner, event string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), "message="+event) {
			return
		}
	}
	t.Fatalf("the process exited before it logged %s", event)
}

// TestHangupWhileDraining guards against SIGHUP terminating a VM that drains. The VM
// must continue until its requests have ended or its grace period is over, and exit
// without an error.
func TestHangupWhileDraining(t *testing.T) {
	cmd, lines := startEdge(t)
	readUntil(t, lines, "started")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	readUntil(t, lines, "draining")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	readUntil(t, lines, "stopped")
	for lines.Scan() {
		continue // a full pipe would block the process
	}
	assert.NilError(t, cmd.Wait())
}
