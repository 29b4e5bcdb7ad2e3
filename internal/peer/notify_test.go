package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// TestNotificationsArriveInOrder guards against an end that overtakes the first event of the same
// request, and against notifications that are attributed to another VM.
func TestNotificationsArriveInOrder(t *testing.T) {
	type received struct {
		from   coord.VMID
		ticket uint64
	}
	got := make(chan received, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second, HandleNotification: func(from coord.VMID, c *schema.Call) {
		got <- received{from, c.GetDone().GetTicket()}
	}}, emptyReplyHandler{}, func(coord.VMID) string { return "" })
	go b.Serve(l)
	t.Cleanup(func() { _ = l.Close(); b.Close() })
	a, _ := startMesh(t, "a", nil, func(coord.VMID) string { return l.Addr().String() })
	for i := range cap(got) {
		assert.NilError(t, a.Notify(t.Context(), "b", &schema.Call{Body: &schema.Call_Done{Done: &schema.Done{Ticket: uint64(i)}}}))
	}
	for i := range cap(got) {
		assert.Equal(t, <-got, received{"a", uint64(i)})
	}
	assert.NilError(t, b.SendHeartbeat(t.Context(), "a", &schema.Heartbeat{Vm: "b"}), "the session is in use by both sides")
}

// BenchmarkNotify measures a notification, and a Call that has the same content.
func BenchmarkNotify(b *testing.B) {
	handled := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := New(Config{Self: "b", HandleNotification: func(coord.VMID, *schema.Call) { handled <- struct{}{} }, DialTimeout: time.Second},
		emptyReplyHandler{}, func(coord.VMID) string { return "" })
	go server.Serve(l)
	client := New(Config{Self: "a", DialTimeout: time.Second}, emptyReplyHandler{}, func(coord.VMID) string { return l.Addr().String() })
	b.Cleanup(func() { _ = l.Close(); server.Close(); client.Close() })
	call := &schema.Call{Body: &schema.Call_Done{Done: &schema.Done{Ticket: 1, Service: "models"}}}
	b.Run("notify", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, client.Notify(b.Context(), "b", call))
			<-handled
		}
	})
	b.Run("call", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := client.Call(b.Context(), "b", call)
			assert.NilError(b, err)
		}
	})
}
