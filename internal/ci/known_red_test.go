// Package ci tests the scripts in the .ci directory.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sampleTests is a test file in which some test names are prefixes of others.
const sampleTests = `package sample

import "testing"

func TestA(*testing.T)  {}
func TestAB(*testing.T) {}
func TestC(t *testing.T) {
	t.Run("x_1", func(*testing.T) {})
	t.Run("x_12", func(*testing.T) {})
}
`

var passLine = regexp.MustCompile(`--- PASS: (\S+)`)

// TestKnownRedSkipsExactlyListedTests runs go test with the -skip pattern that the
// known-red script prints for a list, and compares the tests that passed.
func TestKnownRedSkipsExactlyListedTests(t *testing.T) {
	all := []string{"TestA", "TestAB", "TestC", "TestC/x_1", "TestC/x_12"}
	for _, row := range []struct {
		name, list string
		skipped    []string
	}{
		{"an empty list", "", nil},
		{"a test", "TestA | a cause | 7\n", []string{"TestA"}},
		{"a subtest", "TestC/x_1 | a cause | 7\n", []string{"TestC/x_1"}},
		{"both, and a day of the bench", "TestAB | a | 7\nbench day hunt-1 | b | 8\nTestC/x_12 | c | 9\n", []string{"TestAB", "TestC/x_12"}},
		{"no Go test", "bench day hunt-1 | .* | 8\n", nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			writeFile(t, dir, "go.mod", "module sample\n\ngo 1.26\n")
			writeFile(t, dir, "sample_test.go", sampleTests)
			writeFile(t, dir, "KNOWN-RED.txt", row.list)
			pattern := runCommand(t, dir, knownRedScript(t), "KNOWN-RED.txt")
			args := []string{"test", "-v", "-count=1"}
			if pattern = strings.TrimSpace(pattern); pattern != "" {
				args = append(args, "-skip", pattern)
			}
			var want, got []string
			for _, name := range all {
				if !slices.Contains(row.skipped, name) {
					want = append(want, name)
				}
			}
			for _, m := range passLine.FindAllStringSubmatch(runCommand(t, dir, "go", args...), -1) {
				got = append(got, m[1])
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		})
	}
}

// knownRedScript returns the absolute path of the script under test.
func knownRedScript(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../../.ci/known-red")
	assert.NilError(t, err)
	return path
}

func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

// runCommand runs a program in dir and returns its combined output. It fails the
// test if the program fails.
func runCommand(t *testing.T, dir, program string, args ...string) string {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=-mod=mod")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return string(out)
}
