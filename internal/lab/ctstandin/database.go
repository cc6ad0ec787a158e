package ctstandin

import (
	"net"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// database is the state of the member that its sessions share.
type database struct {
	role        ctserver.Role
	term        uint64
	fence       uint64
	incarnation ctid.Incarnation
	log         ctwal.Log
	lockHolder  sessionID
	running     int
	// answered counts the answers to callers' statements.
	answered int
	faults   Faults
	counters Counters
	// connections holds the connections that are open.
	connections map[sessionID]connection
	// waiting are the sessions that wait for more of the log.
	waiting []sessionID
}

// connection is an open connection as the member's views show it.
type connection struct {
	label  string
	socket net.Conn
}

// The labels of connections.
const (
	// holderPrefix begins those of holders.
	holderPrefix = "cherviltrestle"
	// replicationLabel is that of replicas, which are not counted.
	replicationLabel = "replication"
)

// connect counts a new connection and reports whether the limit allows it.
func (d *database) connect(id sessionID, c connection, limit int) bool {
	if c.label != replicationLabel {
		if d.counted() >= limit {
			d.counters.RefusedConnections++
			return false
		}
	}
	d.connections[id] = c
	d.counters.MaxConnections = max(d.counters.MaxConnections, d.counted())
	return true
}

func (d *database) counted() int {
	count := 0
	for _, c := range d.connections {
		if c.label != replicationLabel {
			count++
		}
	}
	return count
}

// disconnect forgets a connection and frees the holder's lock where it had it.
func (d *database) disconnect(id sessionID) {
	delete(d.connections, id)
	if d.lockHolder == id {
		d.lockHolder = 0
	}
}

// others returns the holders' connections for requests, but for those with the
// label.
func (d *database) others(label string) []connection {
	var others []connection
	for _, c := range d.connections {
		if strings.HasPrefix(c.label, holderPrefix+"/") && c.label != label {
			others = append(others, c)
		}
	}
	return others
}

// evict closes all holders' connections but for the caller's own.
func (d *database) evict(own sessionID) int {
	count := 0
	for id, c := range d.connections {
		if id == own || !strings.HasPrefix(c.label, holderPrefix) {
			continue
		}
		_ = c.socket.Close()
		count++
	}
	return count
}

// primary reports whether the member takes writes.
func (d *database) primary() bool {
	return d.role == ctserver.RolePrimary && d.fence <= d.term
}

// begin counts a statement that starts to run.
func (d *database) begin(slots int) {
	d.running++
	d.counters.Statements++
	d.counters.MaxRunning = max(d.counters.MaxRunning, d.running)
	if d.running > slots {
		d.counters.SlotViolations++
	}
}

// commit appends the entries of a transaction and reports whether the member
// may still do so.
func (d *database) commit(entries []ctwal.Entry) bool {
	if !d.primary() {
		return false
	}
	for i := range entries {
		entries[i].Term = d.term
		entries[i].Last = i == len(entries)-1
	}
	d.log.Append(entries...)
	d.log.ApplyAll()
	d.counters.Commits++
	return true
}

// fenceAt makes the member take nothing of terms before term.
func (d *database) fenceAt(term uint64) {
	d.fence = max(d.fence, term)
}

// promote makes the member the primary of a term.
func (d *database) promote(term uint64) bool {
	if term < d.fence || term < d.term {
		return false
	}
	d.term = term
	d.fence = max(d.fence, term)
	d.role = ctserver.RolePrimary
	d.log.Truncate(whole(&d.log))
	d.log.ApplyAll()
	return true
}

// follow makes the member a replica of a term. What it holds beyond the term's
// start is not part of the term's history and is dropped; that makes a new
// incarnation of the member's data.
func (d *database) follow(term uint64, start int) bool {
	if term < d.fence || term < d.term {
		return false
	}
	if term > d.term && d.log.Truncate(start) {
		d.incarnation++
	}
	d.term = term
	d.fence = max(d.fence, term)
	d.role = ctserver.RoleReplica
	return true
}

// whole returns how many of the log's entries belong to whole transactions.
func whole(log *ctwal.Log) int {
	entries := log.Entries()
	for i := len(entries); i > 0; i-- {
		if entries[i-1].Last {
			return i
		}
	}
	return 0
}

// cuts counts an answer to a caller's statement and reports whether it is to be
// cut.
func (d *database) cuts() bool {
	d.answered++
	return d.faults.CutEvery > 0 && d.answered%d.faults.CutEvery == 0
}
