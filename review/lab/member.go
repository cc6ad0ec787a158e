package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RanRead is a read that a member ran.
type RanRead struct {
	At       time.Time
	Member   *Member
	Visible  int
	Position string
	// Log is the visible log.
	Log []Entry
}

// Runs holds what the members received and ran, by query ID.
type Runs struct {
	mutex sync.Mutex
	// Received has the time at which the statement reached a member.
	Received map[string]time.Time
	Reads    map[string][]RanRead
	Commits  map[string]CommitRun
	// Values has the session values with which a statement ran.
	Values map[string]string
}

// CommitRun is a commit at a member.
type CommitRun struct {
	Member *Member
	Term   uint64
	Number int
	At     time.Time
	// LeadTerm is the group's latest term when the commit was done.
	LeadTerm uint64
}

var runs = Runs{
	Received: make(map[string]time.Time), Reads: make(map[string][]RanRead), Commits: make(map[string]CommitRun),
	Values: make(map[string]string),
}

// memberConn is a connection to a member.
type memberConn struct {
	member *Member
	socket net.Conn
	values map[string]string
	shapes map[string]string
	// open, readOnly and failed describe the transaction.
	open, readOnly, failed bool
	writes                 []string
}

// Serve accepts connections at the member's address until stop is closed.
func (m *Member) Serve(stop <-chan struct{}) error {
	listener, err := net.Listen("tcp4", m.Address)
	if err != nil {
		return err
	}
	go func() { <-stop; _ = listener.Close() }()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go (&memberConn{member: m, socket: socket}).serve()
		}
	}()
	return nil
}

func (c *memberConn) serve() {
	defer func() { _ = c.socket.Close() }()
	reader := bufio.NewReader(c.socket)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	m, g := c.member, c.member.group
	c.awaitLink()
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != g.Service || (len(fields) > 3 && fields[3] != m.ID) {
		_, _ = fmt.Fprintf(c.socket, "ERROR %s %s\r\n", names.WrongMember, m.ID)
		return
	}
	c.hold(12 * time.Millisecond)
	c.values, c.shapes = make(map[string]string), make(map[string]string)
	g.Do(func() { m.conns[c] = struct{}{} })
	defer g.Do(func() { delete(m.conns, c) })
	c.ready("I")
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if !c.handle(strings.TrimRight(line, "\r\n")) {
			return
		}
	}
}

// hold occupies a slot.
func (c *memberConn) hold(d time.Duration) {
	c.member.slots <- struct{}{}
	time.Sleep(d)
	<-c.member.slots
}

func (c *memberConn) state() string {
	switch {
	case c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

// ready sends READY with the member's position.
func (c *memberConn) ready(state string) {
	var position string
	c.member.group.Do(func() { position = c.member.position(c.member.visible()) })
	_, _ = fmt.Fprintf(c.socket, "READY %s %s\r\n", state, position)
}

func (c *memberConn) complete(rows []string, mac string) {
	var b strings.Builder
	for _, r := range rows {
		b.WriteString("ROW " + r + "\r\n")
	}
	b.WriteString("COMPLETE " + mac + "\r\n")
	_, _ = c.socket.Write([]byte(b.String()))
	c.ready(c.state())
}

// refuse answers with an error. A transaction fails by any but RETRY.
func (c *memberConn) refuse(code string) {
	if c.open && code != "RETRY" {
		c.failed = true
	}
	_, _ = fmt.Fprintf(c.socket, "ERROR %s %s\r\n", code, c.member.ID)
	c.ready(c.state())
}

func (c *memberConn) end() {
	c.open, c.readOnly, c.failed, c.writes = false, false, false, nil
}

func (c *memberConn) leads() bool {
	leads := false
	c.member.group.Do(func() { leads = c.member.primary })
	return leads
}

// handle runs one line and reports whether the connection goes on.
func (c *memberConn) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	verb, arguments, _ := strings.Cut(text, " ")
	c.awaitLink()
	if verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN" {
		return c.command(verb, arguments)
	}
	if id != "-" {
		runs.mutex.Lock()
		runs.Received[id] = time.Now()
		runs.Values[id] = c.describeValues()
		runs.mutex.Unlock()
	}
	if verb == names.MinPosition {
		position, statement, _ := strings.Cut(arguments, " ")
		verb, arguments, _ = strings.Cut(statement, " ")
		term, number, _ := strings.Cut(position, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.Atoi(number)
		covered := false
		c.member.group.Do(func() { covered = c.member.covers(t, n) })
		if !covered {
			c.refuse("LAGGING")
			return true
		}
	}
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		c.refuse("MALFORMED")
		return true
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		c.values[name] = value
		c.complete(nil, "-")
	case "RESET":
		c.values, c.shapes = make(map[string]string), make(map[string]string)
		c.complete(nil, "-")
	case "PREPARE":
		name, shape, _ := strings.Cut(arguments, " ")
		c.shapes[name] = shape
		c.complete(nil, "-")
	case "DEALLOC":
		delete(c.shapes, arguments)
		c.complete(nil, "-")
	case "BEGIN":
		c.begin(arguments == "READ")
	case "ROLLBACK":
		c.end()
		c.complete(nil, "-")
	case "READ":
		c.read(id)
	case "WRITE":
		return c.write(id)
	case "COMMIT":
		return c.commit(id)
	default:
		c.refuse("MALFORMED")
	}
	return true
}

// describeValues returns the session values of the connection.
func (c *memberConn) describeValues() string {
	var values []string
	for _, name := range []string{"a", "b"} {
		if v, ok := c.values[name]; ok {
			values = append(values, name+"="+v)
		}
	}
	return strings.Join(values, ",")
}

// awaitLink holds a message up while the member is cut from the proxies. Only connections with
// an open transaction are spared; the case that uses this has them at one proxy alone.
func (c *memberConn) awaitLink() {
	for cut := true; cut; {
		c.member.group.Do(func() { cut = c.member.cutFromFronts && !c.open })
		if cut {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (c *memberConn) begin(readOnly bool) {
	if !readOnly && !c.leads() {
		c.refuse("READONLY")
		return
	}
	c.open, c.readOnly = true, readOnly
	c.complete(nil, "-")
}

func (c *memberConn) read(id string) {
	if c.open && !c.readOnly && !c.leads() {
		c.refuse("READONLY")
		return
	}
	c.hold(c.member.Work())
	m := c.member
	run := RanRead{At: time.Now(), Member: m}
	m.group.Do(func() {
		run.Visible = m.visible()
		run.Position = m.position(run.Visible)
		run.Log = m.log[:run.Visible:run.Visible]
	})
	runs.mutex.Lock()
	runs.Reads[id] = append(runs.Reads[id], run)
	runs.mutex.Unlock()
	m.group.rec.Log("member %s ran read %s at %s", m.ID, id, run.Position)
	c.complete([]string{"row-" + id}, "mac-"+m.ID+"-"+id)
}

func (c *memberConn) write(id string) bool {
	if !c.leads() || c.readOnly {
		c.refuse("READONLY")
		return true
	}
	c.hold(c.member.Work())
	if c.open {
		c.writes = append(c.writes, id)
		c.complete(nil, "mac-"+c.member.ID+"-"+id)
		return true
	}
	return c.commitEntry(id, []string{id})
}

func (c *memberConn) commit(id string) bool {
	switch {
	case !c.open:
		c.refuse("MALFORMED")
		return true
	case c.failed:
		c.end()
		c.refuse("ABORTED")
		return true
	case len(c.writes) == 0:
		c.end()
		c.complete(nil, "mac-"+c.member.ID+"-"+id)
		return true
	case !c.leads():
		c.refuse("READONLY")
		return true
	}
	c.hold(c.member.Work())
	ids := append(c.writes, id)
	c.end()
	return c.commitEntry(id, ids)
}

// commitEntry commits and answers. If the member stops leading before enough replicas have
// the commit, it closes the connection.
func (c *memberConn) commitEntry(id string, ids []string) bool {
	m, g := c.member, c.member.group
	number := m.commit(ids)
	if number == 0 {
		return false
	}
	run := CommitRun{Member: m, Number: number, At: time.Now()}
	g.Do(func() { run.Term, run.LeadTerm = m.log[number-1].Term, g.term })
	runs.mutex.Lock()
	runs.Commits[id] = run
	runs.mutex.Unlock()
	g.rec.Log("member %s committed %s at %d.%d", m.ID, id, run.Term, number)
	c.complete(nil, "mac-"+m.ID+"-"+id)
	return true
}

// command runs a command of control or a status query.
func (c *memberConn) command(verb, argument string) bool {
	m, g := c.member, c.member.group
	term, _ := strconv.ParseUint(argument, 10, 64)
	var row string
	cut := false
	g.Do(func() {
		if cut = m.cutFromControl; cut {
			return
		}
		switch verb {
		case "PAUSE":
			if !m.primary && term > m.term {
				m.pausedBelow = term
			}
		case "RESUME":
			m.pausedBelow = 0
		case "STEPDOWN":
			if m.primary && m.term < term {
				m.demote("STEPDOWN")
			}
		}
		role := "replica"
		if m.primary {
			role = "primary"
		}
		row = fmt.Sprintf("%s %d %s %d %d %d %d", role, m.term, m.position(len(m.log)), m.pausedBelow,
			m.lag.Milliseconds(), len(m.slots), len(m.conns))
	})
	if cut {
		// The link is cut: nothing arrives any more.
		time.Sleep(10 * time.Second)
		return false
	}
	if verb != "STATUS" {
		g.rec.Log("member %s: %s %s -> %s", m.ID, verb, argument, row)
	}
	c.complete([]string{row}, "-")
	return true
}
