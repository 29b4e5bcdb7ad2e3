package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	status int
	bytes  int64
	body   string
	// complete is set if the whole answer arrived.
	complete bool
	// closing is set if the answer announced the end of its connection.
	closing bool
	err     error
	took    time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("%s: status %d, %d bytes, complete %v, %v after %d ms", o.id, o.status, o.bytes, o.complete, o.err, o.took.Milliseconds())
}

// attempt is a request of a client.
type attempt struct {
	method, host, path string
	header             map[string]string
	body               string
	deadline           time.Duration
}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// conn is a connection of a client, which is kept for several requests.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
}

func dial(address string) (*conn, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, 4<<10)}, nil
}

// do sends one request on the connection and reads its answer.
func (c *conn) do(a attempt, id string) (o outcome) {
	o.id = id
	start := time.Now()
	defer func() { o.took = time.Since(start) }()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.path, a.host, id, a.deadline.Milliseconds())
	for name, value := range a.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	_ = c.raw.SetDeadline(start.Add(a.deadline))
	if _, o.err = io.WriteString(c.raw, head.String()+"\r\n"+a.body); o.err != nil {
		return o
	}
	var resp *http.Response
	if resp, o.err = http.ReadResponse(c.reader, &http.Request{Method: a.method}); o.err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.closing = resp.StatusCode, resp.Close
	buffer := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buffer)
		o.bytes += int64(n)
		if err != nil {
			o.complete = err == io.EOF
			if !o.complete {
				o.err = err
			}
			return o
		}
	}
}

// once sends one request on a connection of its own.
func once(address string, a attempt) outcome {
	id := newID()
	c, err := dial(address)
	if err != nil {
		return outcome{id: id, err: err}
	}
	defer func() { _ = c.raw.Close() }()
	return c.do(a, id)
}
