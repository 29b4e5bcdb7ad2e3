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

// result is what a command line gave.
type result struct {
	code     int
	out, err string
}

func operator(args ...string) result {
	var out, errOut bytes.Buffer
	code := Operator(args, strings.NewReader(""), &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

// TestBundleLife goes from an example to a signed, verified and changed bundle.
func TestBundleLife(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	must := func(args ...string) string {
		t.Helper()
		r := operator(args...)
		assert.Equal(t, r.code, exitOK, "%v: %s", args, r.err)
		return r.out
	}
	must("bundle", "init", at("b.ini"))
	assert.Assert(t, strings.Contains(must("bundle", "check", at("b.ini")), "ok: 12 adapters"))
	public := strings.TrimSpace(must("keys", "bundle", "ops-a", at("a.pem")))
	other := strings.TrimSpace(must("keys", "bundle", "ops-b", at("b.pem")))
	must("bundle", "build", at("b.ini"), "--out", at("out"), "--author", "me", "--version", "4")
	r := operator("bundle", "verify", at("out"), "--public-key", public)
	assert.Equal(t, r.code, exitFailed)
	assert.Assert(t, strings.Contains(r.err, "0 valid signatures"), r.err)
	must("bundle", "sign", at("out"), "--key", at("a.pem"))
	must("bundle", "verify", at("out"), "--public-key", public)
	r = operator("bundle", "verify", at("out"), "--public-key", public, "--public-key", other, "--required", "2")
	assert.Equal(t, r.code, exitFailed)
	var s shown
	assert.NilError(t, json.Unmarshal([]byte(must("bundle", "show", at("out"), "--json")), &s))
	assert.Equal(t, s.Version, uint64(4))
	assert.DeepEqual(t, s.Signatures, []string{"ops-a"})

	source, err := os.ReadFile(at("b.ini"))
	assert.NilError(t, err)
	changed := strings.Replace(string(source), "versions = v3", "versions = v3, v4", 1)
	assert.NilError(t, os.WriteFile(at("c.ini"), []byte(changed), 0o600))
	diff := must("bundle", "diff", at("out"), at("c.ini"))
	assert.Equal(t, strings.Count(diff, "\n"), 1, diff)
	assert.Assert(t, strings.HasPrefix(diff, "~ adapters/cab-answers: "), diff)
	assert.Equal(t, must("bundle", "diff", at("b.ini"), at("out")), "")
}

// TestExitCodes gives each kind of end of a command.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[hall \"h\"]\nregoin = x\n[weights]\nload_stall = 2\n"), 0o600))
	for _, row := range []struct {
		name string
		args []string
		code int
		err  []string
	}{
		{"findings", []string{"bundle", "check", bad}, exitFindings, []string{
			`bad.ini:2: [hall "h"] regoin: unknown key; did you mean "region"?`,
			`bad.ini:4: [weights] load_stall: 2 is not between 0 and 1`,
		}},
		{"a file that is not there", []string{"bundle", "check", filepath.Join(dir, "none")}, exitFailed, []string{"no such file"}},
		{"an unknown command", []string{"bundel"}, exitFailed, []string{`unknown command "bundel"`}},
		{"a flag that is needed", []string{"bundle", "build", bad}, exitFailed, []string{`required flag(s)`}},
		{"a file that is there already", []string{"bundle", "init", bad}, exitFailed, []string{"exists"}},
		{"a VM that is not there", []string{"status", "--vm", "http://127.0.0.1:1"}, exitFailed, []string{"ask the VM"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := operator(row.args...)
			assert.Equal(t, r.code, row.code, r.err)
			for _, want := range row.err {
				assert.Assert(t, strings.Contains(r.err, want), "%s", r.err)
			}
		})
	}
}

// closedPipe is an output whose reader has gone.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func TestClosedPipeIsNoError(t *testing.T) {
	var errOut bytes.Buffer
	code := Operator([]string{"bundle", "init"}, strings.NewReader(""), closedPipe{}, &errOut)
	assert.Equal(t, code, exitOK)
	assert.Equal(t, errOut.String(), "")
}

func TestSettingsExampleIsRight(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.ini")
	var out, errOut bytes.Buffer
	assert.Equal(t, Daemon([]string{"settings"}, strings.NewReader(""), &out, &errOut), exitOK)
	assert.NilError(t, os.WriteFile(file, out.Bytes(), 0o600))
	assert.Equal(t, Daemon([]string{"settings", file}, strings.NewReader(""), &out, &errOut), exitOK, errOut.String())
}
