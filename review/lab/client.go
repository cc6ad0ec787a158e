package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Answer is the answer to a query.
type Answer struct {
	// Whole reports whether the answer came to its READY.
	Whole bool
	// Code is empty for a success.
	Code  string
	MAC   string
	Rows  []string
	State string
}

// OK reports whether the query succeeded.
func (a Answer) OK() bool { return a.Whole && a.Code == "" }

// Sent is a query that a requester has sent whole.
type Sent struct {
	ID, Text, Proxy string
	At, EndedAt     time.Time
	// FirstByteAt is that of the transaction, or of the query outside one.
	FirstByteAt time.Time
	Answer      Answer
}

// History holds all queries of the requesters.
type History struct {
	mutex sync.Mutex
	sent  []*Sent
}

// All returns the queries that ended so far.
func (h *History) All() []*Sent {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]*Sent(nil), h.sent...)
}

// countOK returns how many queries succeeded.
func countOK(h *History) int {
	n := 0
	for _, q := range h.All() {
		if q.Answer.OK() {
			n++
		}
	}
	return n
}

// Session is a requester's connection.
type Session struct {
	fleet   *Fleet
	history *History
	proxy   string
	name    string
	socket  net.Conn
	reader  *bufio.Reader
	// txSince is when the first byte of the open transaction was sent.
	txSince time.Time
}

// Open connects a session to a database at a proxy.
func (f *Fleet) Open(h *History, proxy *Process, database, name string) (*Session, error) {
	socket, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", proxy.IP, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	s := &Session{fleet: f, history: h, proxy: proxy.Name, name: name, socket: socket, reader: bufio.NewReader(socket)}
	_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(socket, "CONNECT %s %s\r\n", database, name)
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = socket.Close()
		return nil, fmt.Errorf("refused: %s", strings.TrimSpace(line))
	}
	_ = socket.SetDeadline(time.Time{})
	return s, nil
}

// Close ends the session.
func (s *Session) Close() {
	_, _ = fmt.Fprintf(s.socket, "CLOSE\r\n")
	_ = s.socket.Close()
}

// Query sends a query and waits for its whole answer or the end of the connection.
func (s *Session) Query(text string) *Sent {
	q := &Sent{ID: fmt.Sprintf("%016x", rand.Uint64()), Text: text, Proxy: s.proxy, At: time.Now()}
	q.FirstByteAt = q.At
	switch {
	case strings.HasPrefix(text, "BEGIN"):
		s.txSince = q.At
	case !s.txSince.IsZero():
		q.FirstByteAt = s.txSince
	}
	_, err := fmt.Fprintf(s.socket, "QUERY %s %s\r\n", q.ID, text)
	s.fleet.rec.Log("%s at %s sent %s %s", s.name, s.proxy, q.ID, text)
	if err == nil {
		_ = s.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
		q.Answer, err = s.receive()
	}
	q.EndedAt = time.Now()
	if err != nil {
		s.fleet.rec.Log("%s at %s: no whole answer to %s: %v", s.name, s.proxy, q.ID, err)
	} else {
		s.fleet.rec.Log("%s at %s got for %s: %s%s %s", s.name, s.proxy, q.ID, q.Answer.Code, q.Answer.MAC, q.Answer.State)
	}
	if text == "COMMIT" || text == "ROLLBACK" {
		s.txSince = time.Time{}
	}
	s.history.mutex.Lock()
	s.history.sent = append(s.history.sent, q)
	s.history.mutex.Unlock()
	return q
}

func (s *Session) receive() (Answer, error) {
	var a Answer
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.MAC = rest
		case "ERROR":
			a.Code = rest
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			a.Whole = true
			return a, nil
		}
	}
}

// AwaitServing waits until a write through each proxy succeeds, and then for the stable
// window.
func (f *Fleet) AwaitServing(database string, stable time.Duration) error {
	for _, p := range f.Proxies {
		if err := f.awaitProxy(p, database); err != nil {
			return err
		}
	}
	f.rec.Log("all proxies serve; waiting for the stable window")
	time.Sleep(stable)
	return nil
}

func (f *Fleet) awaitProxy(p *Process, database string) error {
	h := &History{}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		s, err := f.Open(h, p, database, "starter")
		if err != nil {
			continue
		}
		q := s.Query("WRITE 1a4 start")
		s.Close()
		if q.Answer.OK() {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve", p.Name)
}
