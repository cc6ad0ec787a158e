package ctquorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// tickStep is how far the clock advances between two ticks.
const tickStep = 20 * time.Millisecond

// cluster runs nodes over a network and disks in memory, and records violations of
// the protocol's guarantees.
type cluster struct {
	now       time.Time
	random    *rand.Rand
	processes []*process
	packets   []packet
	// dropped reports whether packets between two processes are lost.
	dropped func(a, b ctid.Control) bool
	// delay returns for how long packets between two processes are on their way; nil for none.
	delay func(a, b ctid.Control) time.Duration
	// keeps is how many packets from one process to another are kept while that is away. They are
	// delivered when it is back. If it is 0, a stopped process loses its packets.
	keeps int
	// firstApplied holds, by index, the entry as the first process applied it.
	firstApplied map[ctquorum.Index]string
	leaders      map[ctquorum.Epoch]ctquorum.Peer
	committed    []string
	lastProposal ctquorum.ProposalID
	violations   []string
	// voterCount is the VoterCount of the nodes.
	voterCount int
	// seedNames lists the processes that a starting process knows; all others if it is empty.
	seedNames []ctid.Control
}

// process is a process of control with its disk. Its node is nil while it is stopped.
type process struct {
	peer    ctquorum.Peer
	disk    ctquorum.PersistentState
	node    *ctquorum.Node
	applied []string
	leading bool
	// away reports that the process does nothing, because it is stopped or frozen.
	away bool
}

type packet struct {
	from, to ctquorum.Peer
	message  ctquorum.Message
	// arrivesAt is when run delivers the packet.
	arrivesAt time.Time
}

// clusterSize is the number of processes in a cluster of newCluster.
const clusterSize = 3

// newCluster returns a cluster in which every process becomes a voter. Its first process
// is the only voter at the start, and the others have empty disks.
func newCluster(seed uint64) *cluster {
	return newClusterOf(seed, clusterSize, 0)
}

// newClusterOf returns a cluster of size processes that keeps voterCount voters. Its
// first process is the only voter at the start.
func newClusterOf(seed uint64, size, voterCount int) *cluster {
	c := &cluster{
		voterCount:   voterCount,
		now:          time.Unix(0, 0),
		random:       rand.New(rand.NewPCG(seed, 0)),
		dropped:      func(_, _ ctid.Control) bool { return false },
		firstApplied: make(map[ctquorum.Index]string),
		leaders:      make(map[ctquorum.Epoch]ctquorum.Peer),
	}
	for i := range size {
		m := &process{peer: ctquorum.Peer{Name: ctid.Control(fmt.Sprintf("control-%d", i)), Incarnation: 1}}
		if i == 0 {
			m.disk = ctquorum.Bootstrap(m.peer)
		}
		c.processes = append(c.processes, m)
	}
	for _, m := range c.processes {
		c.start(m)
	}
	return c
}

// start starts or restarts a process from its disk.
func (c *cluster) start(m *process) {
	var seeds []ctquorum.Peer
	for _, o := range c.processes {
		isSeed := len(c.seedNames) == 0 || slices.Contains(c.seedNames, o.peer.Name)
		if o != m && isSeed {
			seeds = append(seeds, ctquorum.Peer{Name: o.peer.Name})
		}
	}
	disk := m.disk
	disk.Entries = slices.Clone(disk.Entries)
	m.applied = nil
	if disk.Snapshot.Index > 0 {
		m.applied = []string{string(disk.Snapshot.Data)}
	}
	m.node = ctquorum.New(c.now, m.peer, disk, seeds, c.random)
	m.node.VoterCount = c.voterCount
	m.leading = false
}

// loseDisk restarts a process with an empty disk and a new incarnation.
func (c *cluster) loseDisk(m *process) {
	m.peer.Incarnation++
	m.disk = ctquorum.PersistentState{}
	c.start(m)
}

// step sends an event to a process, unless it is stopped, and performs the effects.
func (c *cluster) step(m *process, event ctquorum.Event) {
	if m.node == nil || m.away {
		return
	}
	for _, effect := range m.node.Step(c.now, event) {
		c.perform(m, effect)
	}
	c.checkAuthority()
}

func (c *cluster) perform(m *process, effect ctquorum.Effect) {
	switch e := effect.(type) {
	case ctquorum.Persist:
		m.disk.Write(e)
	case ctquorum.Send:
		p := packet{from: m.peer, to: e.To, message: e.Message, arrivesAt: c.now}
		if c.delay != nil {
			p.arrivesAt = c.now.Add(c.delay(m.peer.Name, e.To.Name))
		}
		if !c.keptFor(e.To.Name) || c.waiting(p) < c.keeps {
			c.packets = append(c.packets, p)
		}
	case ctquorum.Apply:
		for _, entry := range e.Entries {
			c.apply(m, entry)
		}
	case ctquorum.Restore:
		m.applied = []string{string(e.Snapshot.Data)}
	case ctquorum.Committed:
		c.committed = append(c.committed, fmt.Sprint(e.ID))
	case ctquorum.BecameLeader:
		m.leading = true
		if other, ok := c.leaders[e.Epoch]; ok && other != m.peer {
			c.recordViolation("epoch %d has two leaders: %v and %v", e.Epoch, other, m.peer)
		}
		c.leaders[e.Epoch] = m.peer
	case ctquorum.LeaderChanged:
		m.leading = false
	}
}

// apply applies an entry and checks that all processes apply the same one at its
// index.
func (c *cluster) apply(m *process, entry ctquorum.Entry) {
	formatted := fmt.Sprintf("%d %v %s", entry.Epoch, entry.Voters, entry.Data)
	if first, ok := c.firstApplied[entry.Index]; ok && first != formatted {
		c.recordViolation("index %d was applied as %q and as %q", entry.Index, first, formatted)
	}
	c.firstApplied[entry.Index] = formatted
	if len(entry.Data) > 0 {
		m.applied = append(m.applied, string(entry.Data))
	}
}

// checkAuthority checks that no two processes have authority at the same time.
func (c *cluster) checkAuthority() {
	var authorities []ctquorum.Peer
	for _, m := range c.processes {
		if m.node != nil && c.now.Before(m.node.AuthorityExpiry()) {
			authorities = append(authorities, m.peer)
		}
	}
	if len(authorities) > 1 {
		c.recordViolation("two processes have authority: %v", authorities)
	}
}

func (c *cluster) recordViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// deliver removes the packet at index i from the network and delivers it, unless it
// is dropped.
func (c *cluster) deliver(i int) {
	p := c.packets[i]
	c.packets = slices.Delete(c.packets, i, i+1)
	if c.dropped(p.from.Name, p.to.Name) {
		return
	}
	for _, m := range c.processes {
		// Packets are routed by name; incarnation 0 matches any. Of a packet to the
		// incarnation of a lost disk, a process learns only the sender.
		switch {
		case m.peer.Name != p.to.Name:
		case p.to.Incarnation == 0 || p.to.Incarnation == m.peer.Incarnation:
			c.step(m, ctquorum.Received{From: p.from, Message: p.message})
		default:
			c.step(m, ctquorum.Misaddressed{From: p.from})
		}
	}
}

// run advances the clock by d in steps, with a tick for every process and delivery of
// all packets that have arrived after each step.
func (c *cluster) run(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.now = c.now.Add(tickStep)
		for _, m := range c.processes {
			c.step(m, ctquorum.Tick{})
		}
		for c.deliverNext() {
		}
	}
}

// deliverNext delivers the first packet that has arrived. It returns false if there is none.
func (c *cluster) deliverNext() bool {
	i := slices.IndexFunc(c.packets, func(p packet) bool {
		return !p.arrivesAt.After(c.now) && !c.keptFor(p.to.Name)
	})
	if i < 0 {
		return false
	}
	c.deliver(i)
	return true
}

// keptFor reports whether packets to a process are kept until it is back.
func (c *cluster) keptFor(name ctid.Control) bool {
	return c.keeps > 0 && slices.ContainsFunc(c.processes, func(m *process) bool {
		return m.away && m.peer.Name == name
	})
}

// waiting returns how many packets are on the way between the processes of a packet.
func (c *cluster) waiting(p packet) int {
	count := 0
	for _, other := range c.packets {
		if other.from.Name == p.from.Name && other.to.Name == p.to.Name {
			count++
		}
	}
	return count
}

// leader returns the leader that has authority, or nil.
func (c *cluster) leader() *process {
	for _, m := range c.processes {
		if m.node != nil && m.leading && c.now.Before(m.node.AuthorityExpiry()) {
			return m
		}
	}
	return nil
}
