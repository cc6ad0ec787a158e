package ctholding

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The rate and bounds of a monitor's queries.
const (
	// idlePollInterval is the time between two status queries while no read
	// limits the age of its data.
	idlePollInterval = 500 * time.Millisecond
	// urgentPollInterval is the time between two status queries while a request
	// or a peer waits for the member to reach a point.
	urgentPollInterval = 2 * time.Millisecond
	// pollTimeout bounds each connection attempt and each query of a monitor.
	pollTimeout = 500 * time.Millisecond
	// lockRetryDelay is the pause between two attempts to acquire the holder's
	// lock.
	lockRetryDelay = 20 * time.Millisecond
	// earlierHolderTimeout is how long an earlier holder may keep the lock. After
	// that, its connections are terminated on the member.
	earlierHolderTimeout = 3 * time.Second
	// redialDelay is the pause before the next attempt to connect to an
	// unreachable member.
	redialDelay = 50 * time.Millisecond
)

// The statements of a holder. To the last two, the caller appends an application
// name whose connections are left out, and a closing quote.
const (
	// lockQuery tries to acquire the holder's lock. The number is the lock's key,
	// which must be the same in all proxies.
	lockQuery = "SELECT pg_try_advisory_lock(1667527521)"
	// otherConnectionsQuery counts the connections for requests.
	otherConnectionsQuery = "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE 'cherviltrestle/%'" +
		" AND application_name <> '"
	// evictQuery terminates all connections of proxies. This includes those of
	// monitors, as the lock ends only with the monitor's connection.
	evictQuery = "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity" +
		" WHERE application_name LIKE 'cherviltrestle%' AND application_name <> '"
)

// The prefixes of the application names that backend servers show for a holder's
// connections: those for requests and that of the monitor.
const (
	labelPrefix        = "cherviltrestle/"
	monitorLabelPrefix = "cherviltrestle-monitor/"
)

// run connects to the member, acquires the holder's lock and polls the status. It
// connects again after a failure, until monitorCtx ends.
func (mon *monitor) run() {
	defer mon.enqueue(lockChanged{monitor: mon.number})
	for mon.monitorCtx.Err() == nil {
		connection, err := mon.dial()
		if err != nil {
			mon.enqueue(unreachable{monitor: mon.number, down: errors.Is(err, syscall.ECONNREFUSED)})
			mon.wait(redialDelay)
			continue
		}
		mon.monitorConnection(connection)
		mon.holder.closeConnection(mon.name, connection)
	}
}

func (mon *monitor) dial() (*ctbackend.Conn, error) {
	ctx, cancel := context.WithTimeout(mon.monitorCtx, pollTimeout)
	defer cancel()
	var held ctlock.Held
	announcement, _ := mon.holder.announcement(&held, mon.name)
	return mon.holder.Dialer.Dial(ctx, announcement, monitorLabelPrefix+mon.holder.label())
}

// monitorConnection polls the member over one connection until it fails.
func (mon *monitor) monitorConnection(connection *ctbackend.Conn) {
	if !mon.acquireLock(connection) {
		return
	}
	others, err := mon.countOtherConnections(connection)
	if err != nil {
		return
	}
	mon.enqueue(lockChanged{monitor: mon.number, acquired: true, otherConnections: others})
	defer mon.enqueue(lockChanged{monitor: mon.number})
	for mon.monitorCtx.Err() == nil {
		if others > 0 {
			if others, err = mon.countOtherConnections(connection); err != nil {
				return
			}
		}
		status, ok := mon.poll(connection, others)
		if !ok {
			return
		}
		if mon.reconcile(connection, status) {
			continue
		}
		mon.wait(mon.pollInterval())
	}
}

// poll reads the status once and reports whether the connection is still usable.
func (mon *monitor) poll(connection *ctbackend.Conn, others int) (ctserver.Status, bool) {
	ctx, cancel := context.WithTimeout(mon.monitorCtx, pollTimeout)
	defer cancel()
	requestedAt := mon.holder.Clock.Now()
	status, err := connection.Status(ctx)
	if err != nil && mon.monitorCtx.Err() != nil {
		return status, false
	}
	if err != nil {
		mon.enqueue(unreachable{monitor: mon.number, down: errors.Is(err, syscall.ECONNREFUSED)})
		return status, false
	}
	mon.enqueue(statusRead{monitor: mon.number, status: status, requestedAt: requestedAt, otherConnections: others})
	return status, true
}

// acquireLock waits for the holder's lock and reports whether it was acquired.
func (mon *monitor) acquireLock(connection *ctbackend.Conn) bool {
	deadline := mon.holder.Clock.Now().Add(earlierHolderTimeout)
	for mon.monitorCtx.Err() == nil {
		rows, err := mon.query(connection, lockQuery)
		if err != nil {
			return false
		}
		if len(rows) == 1 && len(rows[0]) == 1 && rows[0][0] == "t" {
			return true
		}
		if mon.holder.Clock.Now().After(deadline) {
			mon.holder.Logger.Warn().Str("event", "evict").Str("member", string(mon.name)).
				Str("why", "earlier_holder_keeps_lock").Send()
			if _, err := mon.query(connection, evictQuery+monitorLabelPrefix+mon.holder.label()+"'"); err != nil {
				return false
			}
		}
		mon.wait(lockRetryDelay)
	}
	return false
}

// countOtherConnections returns how many connections of earlier holders are open.
func (mon *monitor) countOtherConnections(connection *ctbackend.Conn) (int, error) {
	rows, err := mon.query(connection, otherConnectionsQuery+labelPrefix+mon.holder.label()+"'")
	if err != nil {
		return 0, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return 0, nil
	}
	return strconv.Atoi(rows[0][0])
}

func (mon *monitor) query(connection *ctbackend.Conn, text string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(mon.monitorCtx, pollTimeout)
	defer cancel()
	return connection.Query(ctx, text)
}

// pollInterval returns the time until the next status query.
func (mon *monitor) pollInterval() time.Duration {
	var held ctlock.Held
	interval := idlePollInterval
	mon.holder.members.With(&held, func(map[ctid.Member]*member) {
		interval = mon.demand.intervalAt(mon.holder.Clock.Now(), idlePollInterval)
		if mon.waitList.Len() > 0 {
			interval = urgentPollInterval
		}
	})
	return interval
}

// wait returns after d, or earlier if the monitor is woken or stopped.
func (mon *monitor) wait(d time.Duration) {
	select {
	case <-mon.monitorCtx.Done():
	case <-mon.wakeMonitor:
	case <-mon.holder.Clock.After(d):
	}
}

func (m *member) enqueue(e event) {
	m.holder.enqueue(m.name, e)
}

// connect opens a connection for callers' requests and sets its incarnation.
func (h *Holder) connect(ctx context.Context, announcement ctserver.Announcement) (*ctbackend.Conn, error) {
	connection, err := h.Dialer.Dial(ctx, announcement, labelPrefix+h.label())
	if err != nil {
		return nil, err
	}
	status, err := connection.Status(ctx)
	if err != nil {
		connection.Close()
		return nil, err
	}
	connection.Incarnation = status.Incarnation
	return connection, nil
}

// closeConnection closes a connection to a member. It counts and logs an answer in doubt.
func (h *Holder) closeConnection(name ctid.Member, connection *ctbackend.Conn) {
	if doubt := connection.Doubt(); doubt != ctbackend.NoDoubt {
		h.Metrics.AnswersInDoubt.WithLabelValues(string(doubt)).Inc()
		h.Logger.Warn().Str("event", "answer_in_doubt").Str("kind", string(doubt)).
			Str("member", string(name)).Uint32("connection", connection.ProcessID()).Send()
	}
	connection.Close()
}

// label identifies this proxy process to backend servers, by name and incarnation.
func (h *Holder) label() string {
	return string(h.Self.Name) + "/" + strconv.FormatUint(uint64(h.Self.Incarnation), 16)
}
