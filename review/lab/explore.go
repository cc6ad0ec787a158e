package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exploreFor is how long faults are injected by "explore".
const exploreFor = 60 * time.Second

// operation is one requester attempt with what it wrote.
type operation struct {
	route    string
	writes   []string
	promised string
	// last is the query that would commit: the COMMIT or the single write.
	last *Sent
	tx   bool
}

// explorer runs random operations of long sessions.
type explorer struct {
	f       *Fleet
	h       *History
	mutex   sync.Mutex
	ops     []*operation
	reads   map[string]readCheck
	written map[string]time.Time
}

// readCheck is what a read must show.
type readCheck struct {
	route string
	// own are the acknowledged commits of the session before the read.
	own []string
}

// runExplore injects random disruptions while sessions with long transactions are open, and
// checks several rules. It is no case of the review.
func runExplore(rec *Recorder, trouble bool) error {
	seed := uint64(time.Now().UnixNano())
	rng := rand.New(rand.NewPCG(seed, 1))
	f, err := StartFleet(rec, 3, 3, 1)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	for _, m := range f.Group.Members {
		m.Work = func() time.Duration { return time.Duration(2+rand.IntN(30)) * time.Millisecond }
	}
	routes := []Route{
		{Host: "primary1", Type: "primary", TimeoutMS: 1000, TargetMS: 800},
		{Host: "bounded1", Type: "bounded_staleness", TimeoutMS: 3000, TargetMS: 1200, MaxStaleMS: 1500},
		{Host: "own1", Type: "read_own_writes", TimeoutMS: 1000, TargetMS: 1500, MaxStaleMS: 2500},
	}
	if err := f.PublishConfig(routes); err != nil {
		return err
	}
	if err := f.AwaitServing("primary1", time.Second); err != nil {
		return err
	}
	e := &explorer{f: f, h: &History{}, reads: make(map[string]readCheck)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, p := range f.Proxies {
		for i := range 9 {
			clients.Add(1)
			go func() { defer clients.Done(); e.client(p, routes[i%3].Host, fmt.Sprintf("c%d", i), stop) }()
		}
	}
	if trouble {
		e.disrupt(rng)
	} else {
		time.Sleep(exploreFor)
	}
	e.heal()
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	e.judge(rec)
	return nil
}

func (e *explorer) heal() {
	f := e.f
	for _, p := range append(append([]*Process(nil), f.Controls...), f.Proxies...) {
		p.Signal(syscall.SIGCONT)
	}
	f.Group.Do(func() {
		for _, m := range f.Group.Members {
			m.cutFromControl, m.cutFromMembers, m.lag = false, false, usualLag
		}
	})
}

// disrupt injects one disruption after another. Some overlap.
func (e *explorer) disrupt(rng *rand.Rand) {
	f := e.f
	end := time.Now().Add(exploreFor)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		proxy := f.Proxies[rng.IntN(len(f.Proxies))]
		control := f.Controls[rng.IntN(len(f.Controls))]
		member := f.Group.Members[rng.IntN(len(f.Group.Members))]
		lead, _ := f.Group.Lead()
		d := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		kind := rng.IntN(11)
		f.rec.Log("TROUBLE kind %d %s %s %s %s", kind, proxy.Name, control.Name, member.ID, d)
		switch kind {
		case 0:
			go func() { proxy.Kill(); time.Sleep(d / 4); _ = proxy.Start(false) }()
		case 1:
			go func() { control.Kill(); time.Sleep(d / 4); _ = control.Start(false) }()
		case 2:
			go func() { proxy.Terminate(6 * time.Second); time.Sleep(200 * time.Millisecond); _ = proxy.Start(false) }()
		case 3:
			proxy.Signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { proxy.Signal(syscall.SIGCONT) })
		case 4:
			control.Signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { control.Signal(syscall.SIGCONT) })
		case 5:
			f.Group.Do(func() { member.lag = laggingBy })
			time.AfterFunc(d, func() { f.Group.Do(func() { member.lag = usualLag }) })
		case 6:
			f.Group.Do(func() { member.cutFromMembers = true })
			time.AfterFunc(d, func() { f.Group.Do(func() { member.cutFromMembers = false }) })
		case 7:
			f.Group.Do(func() { lead.cutFromControl = true })
			time.AfterFunc(d, func() { f.Group.Do(func() { lead.cutFromControl = false }) })
		case 8:
			e.crash(lead, d)
		case 9:
			f.Group.Do(func() { lead.leaving = true })
			time.AfterFunc(8*time.Second, func() { e.crash(lead, 300*time.Millisecond) })
		case 10:
			e.crash(member, d)
		}
	}
}

// crash ends a member and starts it again with its log.
func (e *explorer) crash(m *Member, down time.Duration) {
	g := e.f.Group
	g.Do(func() {
		if !m.running {
			return
		}
		m.running = false
		for c := range m.conns {
			_ = c.socket.Close()
		}
		g.rec.Log("member %s crashed", m.ID)
	})
	time.AfterFunc(down, func() {
		g.Do(func() {
			m.running, m.leaving, m.pausedBelow = true, false, 0
			m.Born, m.sequence = time.Now().UnixMilli(), 0
			if m.primary && g.lead != m {
				m.primary = false
			}
			m.applied = len(m.log)
			g.rec.Log("member %s is back, primary %t", m.ID, m.primary)
		})
	})
}

// client runs operations in sessions until stop is closed.
func (e *explorer) client(p *Process, host, name string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
		}
		s, err := e.f.Open(e.h, p, host, p.Name+host+name)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c := &exploreSession{Session: s, e: e, host: host, values: make(map[string]string)}
		for range 1 + rand.IntN(6) {
			select {
			case <-stop:
				s.Close()
				return
			default:
			}
			if !c.operate() {
				break
			}
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		}
		s.Close()
	}
}

// exploreSession is a session with its values and acknowledged commits.
type exploreSession struct {
	*Session
	e      *explorer
	host   string
	values map[string]string
	own    []string
}

// expect sends a query and notes the values that it must run with.
func (c *exploreSession) expect(text string) *Sent {
	var values []string
	for _, name := range []string{"a", "b"} {
		if v, ok := c.values[name]; ok {
			values = append(values, name+"="+v)
		}
	}
	q := c.Query(text)
	runs.mutex.Lock()
	expected[q.ID] = strings.Join(values, ",")
	runs.mutex.Unlock()
	if strings.HasPrefix(text, "READ") {
		c.e.mutex.Lock()
		c.e.reads[q.ID] = readCheck{route: c.host, own: append([]string(nil), c.own...)}
		c.e.mutex.Unlock()
	}
	return q
}

var expected = make(map[string]string)

// operate runs one operation and reports whether the session may go on.
func (c *exploreSession) operate() bool {
	if rand.IntN(4) == 0 {
		name, value := []string{"a", "b"}[rand.IntN(2)], fmt.Sprint(rand.IntN(3))
		q := c.Query("SET " + name + " " + value)
		if !q.Answer.OK() {
			return false
		}
		c.values[name] = value
	}
	op := &operation{route: c.host}
	c.e.mutex.Lock()
	c.e.ops = append(c.e.ops, op)
	c.e.mutex.Unlock()
	switch rand.IntN(4) {
	case 0:
		return c.expect(fmt.Sprintf("READ %x", rand.IntN(50))).Answer.OK()
	case 1:
		return c.single(op)
	case 2:
		return c.transaction(op, true)
	}
	return c.transaction(op, false)
}

func (c *exploreSession) single(op *operation) bool {
	q := c.expect("WRITE 1a4 x")
	op.writes, op.last = []string{q.ID}, q
	op.promised = promise(q)
	if q.Answer.OK() {
		c.own = append(c.own, q.ID)
	}
	return q.Answer.OK()
}

func promise(q *Sent) string {
	code, _, _ := strings.Cut(q.Answer.Code, " ")
	switch code {
	case "RETRY", "ABORTED", "LAGGING", "READONLY", "CONNLIMIT", names.WrongMember:
		return code
	}
	return ""
}

func (c *exploreSession) transaction(op *operation, readOnly bool) bool {
	op.tx = true
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if !c.Query(begin).Answer.OK() {
		return false
	}
	for range 1 + rand.IntN(8) {
		var q *Sent
		if readOnly || rand.IntN(2) == 0 {
			q = c.expect(fmt.Sprintf("READ %x", rand.IntN(50)))
		} else {
			q = c.expect("WRITE 1a4 x")
			op.writes = append(op.writes, q.ID)
		}
		if !q.Answer.OK() {
			op.promised = promise(q)
			return false
		}
		if rand.IntN(3) == 0 {
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
		}
	}
	if rand.IntN(6) == 0 {
		op.promised = "ROLLBACK"
		return c.Query("ROLLBACK").Answer.OK()
	}
	q := c.expect("COMMIT")
	op.last, op.promised = q, promise(q)
	if q.Answer.OK() && len(op.writes) > 0 {
		c.own = append(c.own, q.ID)
	}
	return q.Answer.OK()
}

// judge checks the rules against what the members ran.
func (e *explorer) judge(rec *Recorder) {
	sent := e.h.All()
	byID := make(map[string]*Sent)
	for _, q := range sent {
		byID[q.ID] = q
	}
	var final []Entry
	e.f.Group.Do(func() { final = append(final, e.f.Group.lead.log...) })
	count := make(map[string]int)
	for _, entry := range final {
		for _, id := range entry.IDs {
			count[id]++
		}
	}
	ok, commits := 0, 0
	for _, q := range sent {
		if q.Answer.OK() {
			ok++
			if q.Answer.MAC != "-" && !strings.HasSuffix(q.Answer.MAC, q.ID) {
				rec.Break("MIXED: %s got MAC %s", q.ID, q.Answer.MAC)
			}
		}
		if count[q.ID] > 1 {
			rec.Break("TWICE: %s is %d times in the log", q.ID, count[q.ID])
		}
	}
	for _, op := range e.ops {
		kept := 0
		for _, id := range op.writes {
			kept += count[id]
		}
		if op.promised != "" && kept > 0 {
			rec.Break("REFUSED: operation with %v got %s, but %d writes are kept", op.writes, op.promised, kept)
		}
		if op.last != nil && op.last.Answer.OK() && len(op.writes) > 0 {
			commits++
			if kept != len(op.writes) {
				rec.Break("LOST: acknowledged commit %s with %v: %d kept", op.last.ID, op.writes, kept)
			}
		}
		if op.tx && op.last == nil && kept > 0 {
			rec.Break("UNASKED: transaction with %v was committed without a COMMIT", op.writes)
		}
	}
	e.judgeReads(rec, byID, sent)
	e.judgeValues(rec)
	rec.Log("explored: %d queries, %d succeeded, %d commits with writes, %d in the log", len(sent), ok, commits, len(final))
	fmt.Fprintf(os.Stdout, "%d queries, %d succeeded, %d commits with writes\n", len(sent), ok, commits)
}

func (e *explorer) judgeReads(rec *Recorder, byID map[string]*Sent, sent []*Sent) {
	acked := keptCommits(e.f.Group, ackedCommits(sent))
	ackedByID := make(map[string]ackedCommit)
	for _, c := range acked {
		ackedByID[c.id] = c
	}
	allowed := map[string]time.Duration{"primary1": 0, "bounded1": 1500 * time.Millisecond, "own1": 2500 * time.Millisecond}
	for id, check := range e.reads {
		q := byID[id]
		if q == nil || !q.Answer.OK() {
			continue
		}
		for _, run := range runs.Reads[id] {
			for _, c := range acked {
				lacks := c.number > run.Visible || run.Log[c.number-1].Term != c.term
				own := false
				for _, o := range check.own {
					own = own || o == c.id
				}
				late := c.at.Before(q.FirstByteAt.Add(-allowed[check.route]))
				if lacks && (late || (own && check.route == "own1" && c.at.Before(q.FirstByteAt))) {
					rec.Break("STALE: read %s on %s at %s %s lacks %d.%d acked %d ms before", id, check.route, run.Member.ID,
						run.Position, c.term, c.number, q.FirstByteAt.Sub(c.at).Milliseconds())
					break
				}
			}
		}
	}
	for _, q := range sent {
		if run, ok := runs.Commits[q.ID]; ok && q.Answer.OK() && run.Term < run.LeadTerm {
			rec.Break("ONE: %s committed at term %d while %d leads", q.ID, run.Term, run.LeadTerm)
		}
	}
}

func (e *explorer) judgeValues(rec *Recorder) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	for id, want := range expected {
		if got, ok := runs.Values[id]; ok && got != want {
			rec.Break("PINNED: %s ran with values %q instead of %q", id, got, want)
		}
	}
}
