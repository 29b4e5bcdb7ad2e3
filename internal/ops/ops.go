// Package ops implements the read-only HTTP interface for operators. It reports the status of a
// VM, placement explanations, the audit trail and metrics. Changes to the fleet are made by
// bundles only.
package ops

import (
	"crypto/subtle"
	"expvar"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/schema"
)

// Paths of the interface.
const (
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	AuditPath   = "/v1/audit"
	MetricsPath = "/debug/vars"
)

// Source provides the data that the interface reports.
type Source struct {
	Status  func() *schema.Status
	Audit   func() []*schema.AuditEvent
	Metrics *expvar.Map
	Catalog func() *catalog.Catalog
	Explain func(catalog.Model) *schema.Explanation
}

// New returns the handler of the interface. Every request must have the operator token as its
// bearer token.
func New(token string, s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	mux.HandleFunc("GET "+AuditPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, &schema.AuditTrail{Events: s.Audit()})
	})
	mux.HandleFunc("GET "+ExplainPath, s.explain)
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.Metrics.String()))
	})
	return checkToken(token, mux)
}

func checkToken(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "a valid operator token is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s Source) explain(w http.ResponseWriter, r *http.Request) {
	c := s.Catalog()
	if c == nil {
		http.Error(w, "no bundle is in force yet", http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("model")
	model, kind := c.Resolve(name)
	if kind != catalog.OK {
		http.Error(w, "the bundle in force does not hold "+name, http.StatusNotFound)
		return
	}
	writeJSON(w, s.Explain(model))
}

func writeJSON(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
