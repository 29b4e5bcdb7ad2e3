package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// result is the exit code and the output of a command line.
type result struct {
	code     int
	out, err string
}

func runOperator(args ...string) result {
	var out, errOut bytes.Buffer
	code := Operator(args, strings.NewReader(""), &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

// TestBundleLifecycle checks, builds, signs, verifies, shows and changes the example
// bundle. Verification must fail while required signatures are missing, and a diff
// must show exactly the change.
func TestBundleLifecycle(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	must := func(args ...string) string {
		t.Helper()
		r := runOperator(args...)
		assert.Equal(t, r.code, exitOK, "%v: %s", args, r.err)
		return r.out
	}
	must("bundle", "init", path("b.ini"))
	assert.Assert(t, strings.Contains(must("bundle", "check", path("b.ini")), "ok: 12 adapters"))
	public := strings.TrimSpace(must("keys", "bundle", "ops-a", path("a.pem")))
	other := strings.TrimSpace(must("keys", "bundle", "ops-b", path("b.pem")))
	must("bundle", "build", path("b.ini"), "--out", path("out"), "--author", "me", "--version", "4")
	r := runOperator("bundle", "verify", path("out"), "--public-key", public)
	assert.Equal(t, r.code, exitFailed)
	assert.Assert(t, strings.Contains(r.err, "0 valid signatures"), r.err)
	must("bundle", "sign", path("out"), "--key", path("a.pem"))
	must("bundle", "verify", path("out"), "--public-key", public)
	r = runOperator("bundle", "verify", path("out"), "--public-key", public, "--public-key", other, "--required", "2")
	assert.Equal(t, r.code, exitFailed)
	var s bundleSummary
	assert.NilError(t, json.Unmarshal([]byte(must("bundle", "show", path("out"), "--json")), &s))
	assert.Equal(t, s.Version, uint64(4))
	assert.DeepEqual(t, s.Signatures, []string{"ops-a"})

	source, err := os.ReadFile(path("b.ini"))
	assert.NilError(t, err)
	changed := strings.Replace(string(source), "versions = v3", "versions = v3, v4", 1)
	assert.NilError(t, os.WriteFile(path("c.ini"), []byte(changed), 0o600))
	diff := must("bundle", "diff", path("out"), path("c.ini"))
	assert.Equal(t, strings.Count(diff, "\n"), 1, diff)
	assert.Assert(t, strings.HasPrefix(diff, "~ adapters/cab-answers: "), diff)
	assert.Equal(t, must("bundle", "diff", path("b.ini"), path("out")), "")
}

// TestExitCodes checks the exit code and the error output for each kind of failure
// of a command.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[hall \"h\"]\nregoin = x\n[weights]\nload_stall = 2\n"), 0o600))
	for _, row := range []struct {
		name string
		args []string
		code int
		errs []string
	}{
		{"findings", []string{"bundle", "check", bad}, exitFindings, []string{
			`bad.ini:2: [hall "h"] regoin: unknown key; did you mean "region"?`,
			`bad.ini:4: [weights] load_stall: 2 is not between 0 and 1`,
		}},
		{"a missing file", []string{"bundle", "check", filepath.Join(dir, "none")}, exitFailed, []string{"no such file"}},
		{"an unknown command", []string{"bundel"}, exitFailed, []string{`unknown command "bundel"`}},
		{"a missing required flag", []string{"bundle", "build", bad}, exitFailed, []string{`required flag(s)`}},
		{"a file that exists already", []string{"bundle", "init", bad}, exitFailed, []string{"exists"}},
		{"an unreachable VM", []string{"status", "--vm", "http://127.0.0.1:1"}, exitFailed, []string{"send request to the VM"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := runOperator(row.args...)
			assert.Equal(t, r.code, row.code, r.err)
			for _, want := range row.errs {
				assert.Assert(t, strings.Contains(r.err, want), "%s", r.err)
			}
		})
	}
}

// closedPipe is an output whose reader has closed the pipe.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func TestClosedPipeIsNotAnError(t *testing.T) {
	var errOut bytes.Buffer
	code := Operator([]string{"bundle", "init"}, strings.NewReader(""), closedPipe{}, &errOut)
	assert.Equal(t, code, exitOK)
	assert.Equal(t, errOut.String(), "")
}

func TestSettingsExampleIsValid(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.ini")
	var out, errOut bytes.Buffer
	assert.Equal(t, Daemon([]string{"settings"}, strings.NewReader(""), &out, &errOut), exitOK)
	assert.NilError(t, os.WriteFile(file, out.Bytes(), 0o600))
	assert.Equal(t, Daemon([]string{"settings", file}, strings.NewReader(""), &out, &errOut), exitOK, errOut.String())
}
