package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEdgeStatus checks the table and the JSON output of edge-status, and its error
// for a response that is not JSON.
func TestEdgeStatus(t *testing.T) {
	text := `{"config_version":7,"fleet_vms":72,"feed_era":2,"feed_revision":97,"feed_age_ms":120,"rate_limits":{"i-7":1.3},"rejection_limits":{"i-8":6},"feed_proven_ms":900,"keys_within_ms":4900,"plain_limit":21,
		"teams":{"crew":{"Charged":1600,"Refused":0,"Level":0.5},"guest":{"Charged":10,"Refused":3200,"Level":-0.1}},
		"contents_suspect":2,"held_contents":{"ab01":{"Targets":["i-1","i-2"],"SinceMs":5000,"LeftMs":595000}},"unknown":{"a":1}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	defer server.Close()
	edgeStatus := func(args ...string) (string, string, int) {
		var out, errOut bytes.Buffer
		code := Operator(append([]string{"edge-status", "--metrics", server.URL}, args...), strings.NewReader(""), &out, &errOut)
		return out.String(), errOut.String(), code
	}
	out, _, code := edgeStatus()
	assert.Equal(t, code, 0)
	for _, want := range []string{
		"configuration 7, 72 VMs", "era 2, revision 97,", "i-7             1.3", "i-8             6", "proven 900 ms ago, of 4900 allowed for keys", "guest  10       3200     -0.10", "2 suspect, 1 held", "9m55s", "i-1,i-2",
	} {
		assert.Assert(t, strings.Contains(out, want), "%s lacks %s", out, want)
	}
	text = strings.Replace(text, `"feed_proven_ms":900`, `"feed_proven_ms":6000`, 1)
	out, _, _ = edgeStatus()
	assert.Assert(t, strings.Contains(out, "keys cannot be judged"), out)
	out, _, _ = edgeStatus("--json")
	assert.Assert(t, strings.Contains(out, `"keys_within_ms":4900`), out)
	text = "no metrics"
	_, errOut, code := edgeStatus()
	assert.Assert(t, code != 0 && strings.Contains(errOut, "decode the VM's metrics"), errOut)
}
