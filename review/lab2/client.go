package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is a requester's session at a proxy.
type client struct {
	rec    *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a requester received.
type answer struct {
	id    string
	rows  []string
	code  string
	proof string
	state string
	err   error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "ERROR " + a.code
	}
	if len(a.rows) > 3 {
		return fmt.Sprintf("success, %d rows", len(a.rows))
	}
	return fmt.Sprintf("success, rows %v", a.rows)
}

// connect opens a session at a proxy.
func (f *fleet) connect(proxy *process, name, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", proxy.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: f.rec, name: name, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name)
	line, err := c.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("refused: %s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a query with a new id and waits for its answer.
func (c *client) query(text string) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	c.rec.add("requester %s sends %s %s", c.name, a.id, text)
	_, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text)
	for a.err == nil {
		var line string
		if line, a.err = c.reader.ReadString('\n'); a.err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest[:min(len(rest), 64)])
		case "COMPLETE":
			a.proof = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state = rest
			c.rec.add("requester %s receives for %s: %s", c.name, a.id, a)
			return a
		}
	}
	c.rec.add("requester %s receives for %s: %s", c.name, a.id, a)
	return a
}

func (c *client) close() {
	fmt.Fprintf(c.conn, "CLOSE\r\n")
	_ = c.conn.Close()
}

// try runs one statement in a session of its own, again after each failure, until it succeeds.
func (f *fleet) try(proxy *process, name, database, text string, limit time.Duration) (answer, bool) {
	var last answer
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		c, err := f.connect(proxy, name, database)
		if err != nil {
			continue
		}
		last = c.query(text)
		c.close()
		if last.ok() {
			return last, true
		}
	}
	return last, false
}
