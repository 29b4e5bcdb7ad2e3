// Package ci tests the scripts of .ci.
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

// sample has tests whose names are parts of each other.
const sample = `package sample

import "testing"

func TestA(*testing.T)  {}
func TestAB(*testing.T) {}
func TestC(t *testing.T) {
	t.Run("x_1", func(*testing.T) {})
	t.Run("x_12", func(*testing.T) {})
}
`

var passLine = regexp.MustCompile(`--- PASS: (\S+)`)

// TestKnownRedPassesOverExactlyItsTests runs go test with the pattern that a list gives.
func TestKnownRedPassesOverExactlyItsTests(t *testing.T) {
	all := []string{"TestA", "TestAB", "TestC", "TestC/x_1", "TestC/x_12"}
	for _, row := range []struct {
		name, list string
		over       []string
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
			write(t, dir, "go.mod", "module sample\n\ngo 1.26\n")
			write(t, dir, "sample_test.go", sample)
			write(t, dir, "KNOWN-RED.txt", row.list)
			pattern := run(t, dir, script(t), "KNOWN-RED.txt")
			args := []string{"test", "-v", "-count=1"}
			if pattern = strings.TrimSpace(pattern); pattern != "" {
				args = append(args, "-skip", pattern)
			}
			var want, got []string
			for _, name := range all {
				if !slices.Contains(row.over, name) {
					want = append(want, name)
				}
			}
			for _, m := range passLine.FindAllStringSubmatch(run(t, dir, "go", args...), -1) {
				got = append(got, m[1])
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		})
	}
}

func script(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../../.ci/known-red")
	assert.NilError(t, err)
	return path
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

func run(t *testing.T, dir, program string, args ...string) string {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=-mod=mod")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return string(out)
}
