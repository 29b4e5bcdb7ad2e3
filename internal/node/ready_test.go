package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/ops"
	"github.com/junctionfold/junctionfold/internal/settings"
	"github.com/junctionfold/junctionfold/schema"
)

// newTestNode returns a VM that does not run. It calls onEvent with each event that it logs.
func newTestNode(t *testing.T, onEvent func()) *Node {
	t.Helper()
	_, publicKey, err := bundle.NewKey("test")
	assert.NilError(t, err)
	s := settings.Defaults()
	s.Vm.Id, s.Vm.Hall = "entry-1", "glostrup-hal"
	s.Door.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peer.InsecureLoopback = true
	s.Trust.PublicKeys = []string{publicKey}
	handler := log.HandlerFunc(func(*log.Entry) error {
		onEvent()
		return nil
	})
	n, err := New(s, &log.Logger{Handler: handler, Level: log.InfoLevel})
	assert.NilError(t, err)
	t.Cleanup(n.closeListeners)
	return n
}

// operatorToken is the token of the operator interface in these tests.
const operatorToken = "operator"

// statusOf returns the status of a handler's response to a GET request.
func statusOf(h http.Handler, path string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	h.ServeHTTP(w, r)
	return w.Code
}

// TestReadyVMServesWhileItAppliesItsFirstBundle guards against refusals by a VM that has just
// started: it must not be ready, nor explain to operators, before its router has the bundle. The test
// checks the VM at each event that it logs while it applies its first bundle, and after that.
func TestReadyVMServesWhileItAppliesItsFirstBundle(t *testing.T) {
	var n *Node
	checks := 0
	check := func() {
		checks++
		ready := statusOf(n.frontEnd, "/readyz")
		if ready == http.StatusOK {
			assert.Equal(t, statusOf(n.frontEnd, "/v1/models"), http.StatusOK, "check %d: ready, but refuses", checks)
		}
		operator := ops.New(operatorToken, n.opsSource())
		assert.Equal(t, statusOf(operator, ops.ExplainPath+"?model=plough-notes@v1"), ready, "check %d", checks)
	}
	checking := false
	n = newTestNode(t, func() {
		if checking {
			return
		}
		checking = true
		check()
		checking = false
	})
	source, err := bundle.Parse("example.ini", []byte(bundle.Example))
	assert.NilError(t, err)
	n.onBundle(&schema.Manifest{Version: 1}, source.Bundle)
	assert.Assert(t, checks > 0, "nothing was logged while the bundle was applied")
	assert.Assert(t, n.Ready())
	check()
}
