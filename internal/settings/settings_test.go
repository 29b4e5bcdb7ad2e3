package settings

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/findings"
)

func TestExampleIsValid(t *testing.T) {
	s, err := Parse("example.ini", []byte(Example))
	assert.NilError(t, err)
	assert.Equal(t, s.Vm.Id, "entry-1")
	assert.Equal(t, s.Door.DrainMs, int64(5000))
	assert.DeepEqual(t, s.Platform.Seeds, []string{"127.0.0.1:9401"})
}

// TestParseReportsFindings changes one line of the example per row and expects one
// finding with its position. A row without a finding only expects a findings.Error.
func TestParseReportsFindings(t *testing.T) {
	for _, row := range []struct {
		name, old, new string
		// want is the finding. LINE stands for the number of the changed line, LINE+
		// for the next one.
		want string
	}{
		{"unknown key", "drain_ms = 5000", "drain_msec = 5000", `s.ini:LINE: [door] drain_msec: unknown key; did you mean "drain_ms"?`},
		{"unknown section", "[log]", "[logs]", `s.ini:LINE: [logs]: unknown section; did you mean "log"?`},
		{"not a number", "heartbeat_ms = 500", "heartbeat_ms = soon", `s.ini:LINE: [peer] heartbeat_ms: "soon" is not a number in range`},
		{"out of range", "heartbeat_ms = 500", "heartbeat_ms = 5", `s.ini:LINE: [peer] heartbeat_ms: 5 is not between 50 and 10000`},
		{"host name as address", "listen = 127.0.0.1:8080", "listen = localhost:8080", `s.ini:LINE: [door] listen: "localhost:8080" is not an IP number with a port, such as 10.0.0.4:9400`},
		{"host name in a URL", "vm_list_url = http://127.0.0.1:8501", "vm_list_url = http://list:8501", `s.ini:LINE: [platform] vm_list_url: "http://list:8501" names a host; an IP number is needed`},
		{"invalid boolean", "insecure_loopback = no", "insecure_loopback = maybe", `s.ini:LINE: [peer] insecure_loopback: "maybe" is neither yes nor no`},
		{"line without a value", "required = 1", "required", `s.ini:LINE: neither a [section] nor a key = value`},
		{"more required signatures than keys", "required = 1", "required = 2", `s.ini:LINE: [trust] required: 2 is not between 1 and the number of public_keys (1)`},
		{"unknown log level", "level = info", "level = loud", `s.ini:LINE: [log] level: "loud" is none of debug, info, warn, error`},
		{"duplicate key", "required = 1", "required = 1\nrequired = 1", `s.ini:LINE+: required: stands already on line LINE`},
		{"TLS disabled on a non-loopback address", "listen = 127.0.0.1:9400", "listen = 10.0.0.1:9400\ninsecure_loopback = yes", ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(Example, row.old))
			text := strings.Replace(Example, row.old, row.new, 1)
			line := 1 + strings.Count(text[:strings.Index(text, row.new)], "\n")
			_, err := Parse("s.ini", []byte(text))
			var found *findings.Error
			assert.Assert(t, errors.As(err, &found), "%v", err)
			want := strings.ReplaceAll(row.want, "LINE+", strconv.Itoa(line+1))
			want = strings.ReplaceAll(want, "LINE", strconv.Itoa(line))
			if want != "" {
				assert.Equal(t, found.Error(), want)
			}
		})
	}
}

// TestParseReportsAllFindings checks that all missing settings of an empty file are
// reported at once.
func TestParseReportsAllFindings(t *testing.T) {
	_, err := Parse("s.ini", nil)
	var found *findings.Error
	assert.Assert(t, errors.As(err, &found))
	assert.Assert(t, len(found.Findings) >= 9, "%d findings", len(found.Findings))
}

// FuzzParse checks that Parse does not panic and does not accept settings that lack
// an id, a token or a public key.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte("[vm]\nid = \"a\nhall=`x"))
	f.Add([]byte("[door\nlisten = \\"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err == nil && (s.Vm.Id == "" || s.Operator.Token == "" || len(s.Trust.PublicKeys) == 0) {
			t.Fatal("Parse accepted settings without an id, a token or a public key")
		}
	})
}
