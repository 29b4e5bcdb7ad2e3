package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseCompletion checks the parameter and the message that are reported for each
// malformed body.
func TestParseCompletion(t *testing.T) {
	for _, row := range []struct{ body, param, text string }{
		{`{"model":"a@1","stream":true}`, "", ""},
		{`{"model":"a@1","stream":null}`, "", ""},
		{`{"model": `, "", "byte 10"},
		{`{"model":"a@1"} x`, "", "byte 17"},
		{`[]`, "", "JSON object"},
		{`{}`, "model", "name@version"},
		{`{"model":""}`, "model", "name@version"},
		{`{"model":7}`, "model", "name@version"},
		{`{"model":"a@1","stream":"yes"}`, "stream", "true or false"},
	} {
		_, fieldErr := parseCompletion([]byte(row.body))
		if row.text == "" {
			assert.Assert(t, fieldErr == nil, row.body)
			continue
		}
		assert.Assert(t, fieldErr != nil, row.body)
		assert.Equal(t, fieldErr.param, row.param)
		assert.Assert(t, strings.Contains(fieldErr.message, row.text), "%s: %s", row.body, fieldErr.message)
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"a@1","stream":true,"messages":[]}`))
	f.Add([]byte(`{"model":"a@1","stream":`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, fieldErr := parseCompletion(body)
		if fieldErr == nil && req.model == "" {
			t.Fatal("a request without a model was accepted")
		}
	})
}
