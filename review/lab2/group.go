package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The timing of the members, as in a small deployment.
const (
	replicationInterval = 2 * time.Millisecond
	promoteDuration     = 300 * time.Millisecond
	stepDownDelay       = time.Second
	beatInterval        = 1200 * time.Millisecond
	workDuration        = 5 * time.Millisecond
)

// entry is a commit in a member's log.
type entry struct {
	term  int
	id    string
	items map[string]string
}

// group is one database: a primary and its replicas, which are stand-ins in this process.
type group struct {
	service string
	sync    int
	rec     *record

	mutex   sync.Mutex
	changed *sync.Cond
	members []*member
	term    int
	latest  *member
	// acked has the ids of the commits whose success a caller received, in order.
	acked []string
	// lost has what the rule LOST forbids.
	lost []string
	// large has the rows of items whose data is large, as they go on the wire.
	large map[string]string
	// busy makes each connection's first write be answered with RETRY. With stutter, the answer to the
	// next write on that connection is lost, and that RETRY comes a second time.
	busy, stutter bool
	// runs counts how often a query took effect, by id.
	runs map[string]int
}

// member is one server of a group. The group's mutex guards its fields.
type member struct {
	group   *group
	id      string
	address string
	zone    string
	running bool
	deaf    bool
	// cut reports that a partition separates the member from everything else.
	cut      bool
	state    string
	primary  bool
	term     int
	paused   int
	log      []entry
	born     int64
	sequence int
	reached  time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	beat     chan bool
}

func newGroup(service string, rec *record) *group {
	g := &group{service: service, sync: 1, rec: rec, term: 3, runs: make(map[string]int)}
	g.changed = sync.NewCond(&g.mutex)
	go g.replicate()
	return g
}

// add adds a member and starts it.
func (g *group) add(id, address, zone string, primary bool) (*member, error) {
	m := &member{group: g, id: id, address: address, zone: zone, primary: primary, term: g.term, beat: make(chan bool, 8)}
	g.mutex.Lock()
	g.members = append(g.members, m)
	if primary {
		g.latest = m
	}
	g.mutex.Unlock()
	return m, m.start()
}

// start starts the member's process, which listens.
func (m *member) start() error {
	listener, err := net.Listen("tcp4", m.address)
	if err != nil {
		return err
	}
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.listener, m.conns = listener, make(map[net.Conn]bool)
	m.running, m.state, m.born, m.sequence = true, "ready", time.Now().UnixMilli(), 0
	if m.primary && m != g.latest {
		m.primary = false
	}
	go m.accept(listener)
	m.report()
	return nil
}

// stop ends the member's process. Its log stays as it is.
func (m *member) stop() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.running = false
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	g.changed.Broadcast()
}

// report makes the member report itself at once.
func (m *member) report() {
	select {
	case m.beat <- true:
	default:
	}
}

// replicate delivers the logs of the primaries and makes a replaced primary step down.
func (g *group) replicate() {
	for {
		time.Sleep(replicationInterval)
		g.mutex.Lock()
		for _, m := range g.members {
			switch {
			case !m.running || m.cut:
			case m.primary && m != g.latest && g.latest.running && !g.latest.cut:
				if m.reached.IsZero() {
					m.reached = time.Now()
				}
				if time.Since(m.reached) > stepDownDelay {
					m.primary, m.reached = false, time.Time{}
					m.report()
				}
			case !m.primary && !m.deaf:
				m.receive()
			}
		}
		g.changed.Broadcast()
		g.mutex.Unlock()
	}
}

// receive takes over the log of the primary of the latest term.
func (m *member) receive() {
	var source *member
	for _, p := range m.group.members {
		if p.running && !p.cut && p.primary && p.term >= max(m.term, m.paused) && (source == nil || p.term > source.term) {
			source = p
		}
	}
	if source == nil || source == m {
		return
	}
	m.term = source.term
	if len(m.log) == len(source.log) && (len(m.log) == 0 || m.log[len(m.log)-1].id == source.log[len(source.log)-1].id) {
		return
	}
	m.log = slices.Clone(source.log)
}

// awaitPath waits until no partition separates the member. The caller holds the mutex.
func (m *member) awaitPath() {
	for m.cut && m.running {
		m.group.changed.Wait()
	}
}

// setCut begins or ends a partition that separates the member from everything else.
func (m *member) setCut(cut bool) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.cut = cut
	m.group.changed.Broadcast()
	m.report()
}

func (m *member) position() string {
	if len(m.log) == 0 {
		return "3.0"
	}
	return fmt.Sprintf("%d.%d", m.log[len(m.log)-1].term, len(m.log))
}

func (m *member) has(id string) bool {
	return slices.ContainsFunc(m.log, func(e entry) bool { return e.id == id })
}

// promote makes a member the primary of the next term, some hundred ms later. It returns the
// status of the answer.
func (g *group) promote(id, holder, token string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id })
	g.rec.add("platform: promotion of %s asked by %s, token %s", id, holder, token)
	if i < 0 || !g.members[i].running || g.members[i].cut {
		return 409
	}
	m := g.members[i]
	if m == g.latest && m.primary {
		return 200
	}
	time.AfterFunc(promoteDuration, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if !m.running {
			return
		}
		g.term++
		m.primary, m.term, m.paused, g.latest = true, g.term, 0, m
		g.rec.add("platform: %s leads term %d with log %s", m.id, g.term, m.position())
		for _, a := range g.acked {
			if !m.has(a) {
				g.lost = append(g.lost, a)
				g.rec.add("LOST: the acknowledged commit %s is not in the log of %s, which is promoted", a, m.id)
			}
		}
		m.report()
		g.changed.Broadcast()
	})
	return 200
}

// ack records that a caller received the success of a commit.
func (g *group) ack(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.acked = append(g.acked, id)
}

func (m *member) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		m.group.mutex.Lock()
		m.conns[c] = true
		m.group.mutex.Unlock()
		go m.serve(c)
	}
}

// conversation is one connection to a member.
type conversation struct {
	m        *member
	values   map[string]string
	prepared map[string][]string
	open     bool
	failed   bool
	readOnly bool
	writes   map[string]string
	txID     string
	// retried is the RETRY that the connection's first write was answered with, and repeated reports
	// that it has come twice.
	retried  string
	repeated bool
}

func (m *member) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		m.group.mutex.Lock()
		delete(m.conns, c)
		m.group.mutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	if fields[1] != m.group.service || (len(fields) > 3 && fields[3] != m.id) {
		fmt.Fprintf(c, "ERROR %s %s\r\n", names.WrongMember, m.id)
		return
	}
	m.group.mutex.Lock()
	m.awaitPath()
	position := m.position()
	m.group.mutex.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", position)
	v := &conversation{m: m, prepared: make(map[string][]string), values: make(map[string]string)}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if parts[0] != "QUERY" || len(parts) < 3 {
			return
		}
		answer, ok := v.answer(parts[1], parts[2])
		if !ok {
			return
		}
		if !sendPaced(c, answer) {
			return
		}
	}
}

// linkBytesPerSecond is less than the link of a machine carries: 700 Mbit/s.
const linkBytesPerSecond = 83 << 20

// sendPaced sends an answer, no faster than the link of a machine carries it.
func sendPaced(c net.Conn, answer string) bool {
	const chunk = 1 << 20
	for begin, sent := time.Now(), 0; sent < len(answer); sent += chunk {
		due := time.Duration(float64(sent) / linkBytesPerSecond * float64(time.Second))
		time.Sleep(time.Until(begin.Add(due)))
		if _, err := c.Write([]byte(answer[sent:min(len(answer), sent+chunk)])); err != nil {
			return false
		}
	}
	return true
}

func mac() string {
	return fmt.Sprintf("%x.%x", rand.Uint64(), rand.Uint64())
}

// answer runs a query. It returns false if the connection ends without an answer.
func (v *conversation) answer(id, text string) (string, bool) {
	m, g := v.m, v.m.group
	minPosition := ""
	if rest, ok := strings.CutPrefix(text, names.MinPosition+" "); ok {
		minPosition, text, _ = strings.Cut(rest, " ")
	}
	words := strings.Split(text, " ")
	if words[0] == "READ" || words[0] == "WRITE" || words[0] == "EXECUTE" || words[0] == "COMMIT" {
		time.Sleep(workDuration)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.awaitPath()
	if !m.running {
		return "", false
	}
	if minPosition != "" && m.behind(minPosition) {
		return v.fault("LAGGING"), true
	}
	if words[0] == "EXECUTE" && len(words) > 2 {
		p, ok := v.prepared[words[1]]
		if !ok {
			return v.fault(names.UnknownStatement), true
		}
		words = append([]string{p[0]}, words[2:]...)
	}
	switch words[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return v.command(words), true
	case "BEGIN":
		v.readOnly = len(words) > 1
		if !v.readOnly && !m.primary {
			return v.fault("READONLY"), true
		}
		v.open, v.failed, v.writes, v.txID = true, false, make(map[string]string), id
		return v.done(nil, "-"), true
	case "ROLLBACK":
		v.open, v.failed = false, false
		return v.done(nil, "-"), true
	case "SET":
		v.values[words[1]] = strings.Join(words[2:], " ")
		return v.done(nil, "-"), true
	case "RESET":
		clear(v.values)
		clear(v.prepared)
		return v.done(nil, "-"), true
	case "PREPARE":
		v.prepared[words[1]] = words[2:]
		return v.done(nil, "-"), true
	case "DEALLOC":
		delete(v.prepared, words[1])
		return v.done(nil, "-"), true
	case "READ":
		if rows, ok := g.large[words[1]]; ok {
			g.rec.add("member %s runs %s READ %s -> rows of %d bytes in all", m.id, id, words[1], len(rows))
			return rows + v.done(nil, mac()), true
		}
		data := "none"
		for _, e := range m.log {
			if d, ok := e.items[words[1]]; ok {
				data = d
			}
		}
		g.rec.add("member %s runs %s READ %s -> %s", m.id, id, words[1], data)
		return v.done([]string{data}, mac()), true
	case "WRITE":
		if !m.primary || v.readOnly && v.open {
			return v.fault("READONLY"), true
		}
		if g.busy && v.retried == "" {
			g.rec.add("member %s doesn't run %s: RETRY", m.id, id)
			v.retried = v.fault("RETRY")
			return v.retried, true
		}
		if g.stutter && v.retried != "" && !v.repeated {
			v.repeated = true
			_, ok := v.commit(id, map[string]string{words[1]: words[2]})
			g.rec.add("trouble: the answer to %s is lost, and the RETRY of before comes a second time", id)
			return v.retried, ok
		}
		if v.open {
			v.writes[words[1]] = words[2]
			return v.done(nil, mac()), true
		}
		return v.commit(id, map[string]string{words[1]: words[2]})
	case "COMMIT":
		v.open = false
		if len(v.writes) == 0 {
			return v.done(nil, mac()), true
		}
		return v.commit(id, v.writes)
	}
	return v.fault("FAILED"), true
}

// commit appends a commit to the log and waits until a replica has received it.
func (v *conversation) commit(id string, items map[string]string) (string, bool) {
	m, g := v.m, v.m.group
	if !m.primary {
		return v.fault("READONLY"), true
	}
	m.log = append(slices.Clip(m.log), entry{term: m.term, id: id, items: items})
	g.runs[id]++
	g.rec.add("member %s commits %s at %s", m.id, id, m.position())
	for m.running && m.primary {
		count := 0
		for _, o := range g.members {
			if o != m && o.running && !o.cut && !m.cut && o.has(id) {
				count++
			}
		}
		if count >= g.sync {
			return v.done(nil, mac()), true
		}
		g.changed.Wait()
	}
	return "", false
}

func (v *conversation) ready() string {
	state := "I"
	if v.open {
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, v.m.position())
}

func (v *conversation) fault(code string) string {
	return fmt.Sprintf("ERROR %s %s\r\n", code, v.m.id) + v.ready()
}

func (v *conversation) done(rows []string, proof string) string {
	var text strings.Builder
	for _, r := range rows {
		text.WriteString("ROW " + r + "\r\n")
	}
	text.WriteString("COMPLETE " + proof + "\r\n" + v.ready())
	return text.String()
}

// behind reports whether the log lacks a position.
func (m *member) behind(position string) bool {
	return compare(m.position(), position) < 0
}

// compare orders positions.
func compare(a, b string) int {
	split := func(p string) (int, int) {
		t, n, _ := strings.Cut(p, ".")
		term, _ := strconv.Atoi(t)
		number, _ := strconv.Atoi(n)
		return term, number
	}
	at, an := split(a)
	bt, bn := split(b)
	if at != bt {
		return at - bt
	}
	return an - bn
}

// command runs STATUS, PAUSE, RESUME or STEPDOWN.
func (v *conversation) command(words []string) string {
	m := v.m
	term := 0
	if len(words) > 1 {
		term, _ = strconv.Atoi(words[1])
	}
	switch words[0] {
	case "PAUSE":
		if !m.primary && term > m.term {
			m.paused = term
		}
	case "RESUME":
		m.paused = 0
	case "STEPDOWN":
		if m.primary && m.term < term {
			m.primary = false
			m.report()
		}
	}
	if words[0] != "STATUS" {
		m.group.rec.add("member %s: %s, log %s", m.id, strings.Join(words, " "), m.position())
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 5 0 %d", role, m.term, m.position(), m.paused, len(m.conns))
	return v.done([]string{row}, "-")
}
