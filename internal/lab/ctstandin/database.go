package ctstandin

import (
	"net"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// database is the state of the member that all its sessions share. The server
// guards it by the lock of its cell.
type database struct {
	role ctserver.Role
	// term is the member's current term.
	term uint64
	// fence is the lowest term that the member still accepts.
	fence uint64
	// incarnation identifies the member's data. It changes when the member becomes the
	// replica of a new term and drops log entries.
	incarnation ctid.Incarnation
	log         ctwal.Log
	// lockHolder is the session that owns the advisory lock, or 0.
	lockHolder sessionID
	// runningRequests counts the requests that use a slot now.
	runningRequests int
	// answeredRequests counts the answers to requests that use a slot.
	answeredRequests int
	faults           Faults
	counters         Counters
	// connections are the open connections.
	connections map[sessionID]connection
	// logReaders are the replicas' sessions that wait for new log entries. Each
	// commit wakes them.
	logReaders []sessionID
}

// connection is an open connection.
type connection struct {
	applicationName string
	socket          net.Conn
}

// Application names by which the server distinguishes connections.
const (
	// holderNamePrefix begins the application names of holders. A holder's connections
	// for requests have a slash after it; its monitor's connection has "-monitor/".
	holderNamePrefix = "cherviltrestle"
	// replicationName is the application name of replicas. Their connections don't
	// count toward the connection limit.
	replicationName = "replication"
)

// addConnection registers a connection. Beyond the limit, it counts the refusal and
// reports false.
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

// removeConnection removes a connection and releases the advisory lock if its
// session owned it.
func (d *database) removeConnection(id sessionID) {
	delete(d.connections, id)
	if d.lockHolder == id {
		d.lockHolder = 0
	}
}

// otherHolders returns the holders' connections for requests, without those that
// have the given application name.
func (d *database) otherHolders(exceptName string) []connection {
	var others []connection
	for _, c := range d.connections {
		if strings.HasPrefix(c.applicationName, holderNamePrefix+"/") && c.applicationName != exceptName {
			others = append(others, c)
		}
	}
	return others
}

// closeHolderConnections closes the connections of all holders, except the own
// session's, and returns how many it closed. It ignores the application name that
// TerminateOthers excepts.
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

// acceptsWrites reports whether the member is a primary that is not fenced.
func (d *database) acceptsWrites() bool {
	return d.role == ctserver.RolePrimary && d.fence <= d.term
}

// recordStart counts a request that starts to use a slot. More running requests
// than slots are a violation.
func (d *database) recordStart(slots int) {
	d.runningRequests++
	d.counters.Statements++
	d.counters.MaxRunning = max(d.counters.MaxRunning, d.runningRequests)
	if d.runningRequests > slots {
		d.counters.SlotViolations++
	}
}

// commit appends the entries of a transaction and applies them. It reports false
// and changes nothing if the member doesn't accept writes.
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

// raiseFence makes the member reject everything of terms before term. A fence is
// never lowered.
func (d *database) raiseFence(term uint64) {
	d.fence = max(d.fence, term)
}

// promote makes the member the primary of a term. It drops the entries of an
// incomplete transaction at the log's end. It reports false for a term before the
// fence or the current term.
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

// becomeReplica makes the member a replica of a term that begins after start log
// entries. If the term is new, entries beyond start are not part of its history:
// they are dropped, and the member's data gets a new incarnation. becomeReplica
// reports false for a term before the fence or the current term.
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

// completeEntryCount returns how many entries the log has up to the end of its last
// complete transaction.
func completeEntryCount(log *ctwal.Log) int {
	entries := log.Entries()
	for i := len(entries); i > 0; i-- {
		if entries[i-1].Last {
			return i
		}
	}
	return 0
}

// recordAnswer counts an answer to a request that used a slot. It reports whether
// the CutEvery fault breaks this answer off.
func (d *database) recordAnswer() bool {
	d.answeredRequests++
	return d.faults.CutEvery > 0 && d.answeredRequests%d.faults.CutEvery == 0
}
