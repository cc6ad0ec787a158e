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
	role            ctserver.Role
	term            uint64
	fence           uint64
	incarnation     ctid.Incarnation
	log             ctwal.Log
	lockHolder      sessionID
	runningRequests int
	// answeredRequests counts the answers to callers' statements.
	answeredRequests int
	faults           Faults
	counters         Counters
	// connections holds the connections that are open.
	connections map[sessionID]connection
	// logReaders are the sessions that wait for more of the log.
	logReaders []sessionID
}

// connection is an open connection as the member's views show it.
type connection struct {
	applicationName string
	socket          net.Conn
}

// The labels of connections.
const (
	// holderNamePrefix begins those of holders.
	holderNamePrefix = "cherviltrestle"
	// replicationName is that of replicas, which are not counted.
	replicationName = "replication"
)

// addConnection counts a new connection and reports whether the limit allows it.
func (d *database) addConnection(id sessionID, c connection, limit int) bool {
	if c.applicationName != replicationName {
		if d.clientConnectionCount() >= limit {
			d.counters.RefusedConnections++
			return false
		}
	}
	d.connections[id] = c
	d.counters.MaxConnections = max(d.counters.MaxConnections, d.clientConnectionCount())
	return true
}

func (d *database) clientConnectionCount() int {
	count := 0
	for _, c := range d.connections {
		if c.applicationName != replicationName {
			count++
		}
	}
	return count
}

// removeConnection forgets a connection and frees the holder's lock where it had it.
func (d *database) removeConnection(id sessionID) {
	delete(d.connections, id)
	if d.lockHolder == id {
		d.lockHolder = 0
	}
}

// otherHolders returns the holders' connections for requests, but for those with the
// label.
func (d *database) otherHolders(exceptName string) []connection {
	var others []connection
	for _, c := range d.connections {
		if strings.HasPrefix(c.applicationName, holderNamePrefix+"/") && c.applicationName != exceptName {
			others = append(others, c)
		}
	}
	return others
}

// closeHolderConnections closes all holders' connections but for the caller's own.
func (d *database) closeHolderConnections(own sessionID) int {
	count := 0
	for id, c := range d.connections {
		if id == own || !strings.HasPrefix(c.applicationName, holderNamePrefix) {
			continue
		}
		_ = c.socket.Close()
		count++
	}
	return count
}

// acceptsWrites reports whether the member takes writes.
func (d *database) acceptsWrites() bool {
	return d.role == ctserver.RolePrimary && d.fence <= d.term
}

// recordStart counts a statement that starts to run.
func (d *database) recordStart(slots int) {
	d.runningRequests++
	d.counters.Statements++
	d.counters.MaxRunning = max(d.counters.MaxRunning, d.runningRequests)
	if d.runningRequests > slots {
		d.counters.SlotViolations++
	}
}

// commit appends the entries of a transaction and reports whether the member
// may still do so.
func (d *database) commit(entries []ctwal.Entry) bool {
	if !d.acceptsWrites() {
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

// raiseFence makes the member take nothing of terms before term.
func (d *database) raiseFence(term uint64) {
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
	d.log.Truncate(completeEntryCount(&d.log))
	d.log.ApplyAll()
	return true
}

// becomeReplica makes the member a replica of a term. What it holds beyond the term's
// start is not part of the term's history and is dropped; that makes a new
// incarnation of the member's data.
func (d *database) becomeReplica(term uint64, start int) bool {
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

// completeEntryCount returns how many of the log's entries belong to whole transactions.
func completeEntryCount(log *ctwal.Log) int {
	entries := log.Entries()
	for i := len(entries); i > 0; i-- {
		if entries[i-1].Last {
			return i
		}
	}
	return 0
}

// recordAnswer counts an answer to a caller's statement and reports whether it is to be
// cut.
func (d *database) recordAnswer() bool {
	d.answeredRequests++
	return d.faults.CutEvery > 0 && d.answeredRequests%d.faults.CutEvery == 0
}
