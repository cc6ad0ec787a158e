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

// The times of a monitor.
const (
	// pollInterval is the time between two status queries while nobody asks for
	// young data.
	pollInterval = 500 * time.Millisecond
	// hastyInterval is the time between two while someone waits for the member.
	hastyInterval = 2 * time.Millisecond
	// pollTimeout is how long a status query may take.
	pollTimeout = 500 * time.Millisecond
	// lockInterval is the time between two tries to take the holder's lock.
	lockInterval = 20 * time.Millisecond
	// lockPatience is how long an earlier holder may keep the lock before its
	// connections are ended on the member.
	lockPatience = 3 * time.Second
	// redialInterval is the time between two tries to reach a silent member.
	redialInterval = 50 * time.Millisecond
)

// The statements of a holder.
const (
	lockQuery   = "SELECT pg_try_advisory_lock(1667527521)"
	othersQuery = "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE 'cherviltrestle/%'" +
		" AND application_name <> '"
	evictQuery = "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity" +
		" WHERE application_name LIKE 'cherviltrestle%' AND application_name <> '"
)

// labelPrefix begins the names under which holders' connections are shown by
// backend servers.
const (
	labelPrefix   = "cherviltrestle/"
	monitorPrefix = "cherviltrestle-monitor/"
)

// monitor watches a member until its context ends: it takes the holder's lock
// and reads the status again and again.
func (w *watch) monitor() {
	defer w.put(locked{watch: w.number})
	for w.watching.Err() == nil {
		connection, err := w.dialMonitor()
		if err != nil {
			w.put(silent{watch: w.number, down: errors.Is(err, syscall.ECONNREFUSED)})
			w.pause(redialInterval)
			continue
		}
		w.watchOver(connection)
		connection.Close()
	}
}

func (w *watch) dialMonitor() (*ctbackend.Conn, error) {
	ctx, cancel := context.WithTimeout(w.watching, pollTimeout)
	defer cancel()
	var held ctlock.Held
	announced, _ := w.holding.announced(&held, w.name)
	return w.holding.Dialer.Dial(ctx, announced, monitorPrefix+w.holding.label())
}

// watchOver serves one connection of the monitor until it fails.
func (w *watch) watchOver(connection *ctbackend.Conn) {
	if !w.takeLock(connection) {
		return
	}
	others, err := w.countOthers(connection)
	if err != nil {
		return
	}
	w.put(locked{watch: w.number, held: true, others: others})
	defer w.put(locked{watch: w.number})
	for w.watching.Err() == nil {
		if others > 0 {
			if others, err = w.countOthers(connection); err != nil {
				return
			}
		}
		status, ok := w.poll(connection, others)
		if !ok {
			return
		}
		if w.reconcile(connection, status) {
			continue
		}
		w.pause(w.interval())
	}
}

// poll reads the status once and reports whether the connection still works.
func (w *watch) poll(connection *ctbackend.Conn, others int) (ctserver.Status, bool) {
	ctx, cancel := context.WithTimeout(w.watching, pollTimeout)
	defer cancel()
	asked := w.holding.Clock.Now()
	status, err := connection.Status(ctx)
	if err != nil && w.watching.Err() != nil {
		return status, false
	}
	if err != nil {
		w.put(silent{watch: w.number, down: errors.Is(err, syscall.ECONNREFUSED)})
		return status, false
	}
	w.put(sampled{watch: w.number, status: status, asked: asked, others: others})
	return status, true
}

// takeLock waits for the holder's lock and reports whether it has it.
func (w *watch) takeLock(connection *ctbackend.Conn) bool {
	patience := w.holding.Clock.Now().Add(lockPatience)
	for w.watching.Err() == nil {
		rows, err := w.query(connection, lockQuery)
		if err != nil {
			return false
		}
		if len(rows) == 1 && len(rows[0]) == 1 && rows[0][0] == "t" {
			return true
		}
		if w.holding.Clock.Now().After(patience) {
			w.holding.Logger.Warn().Str("event", "evict").Str("member", string(w.name)).
				Str("why", "earlier_holder_keeps_lock").Send()
			if _, err := w.query(connection, evictQuery+monitorPrefix+w.holding.label()+"'"); err != nil {
				return false
			}
		}
		w.pause(lockInterval)
	}
	return false
}

// countOthers returns how many connections of earlier holders are open.
func (w *watch) countOthers(connection *ctbackend.Conn) (int, error) {
	rows, err := w.query(connection, othersQuery+labelPrefix+w.holding.label()+"'")
	if err != nil {
		return 0, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return 0, nil
	}
	return strconv.Atoi(rows[0][0])
}

func (w *watch) query(connection *ctbackend.Conn, text string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(w.watching, pollTimeout)
	defer cancel()
	return connection.Query(ctx, text)
}

// interval returns how long to wait before the next status query.
func (w *watch) interval() time.Duration {
	var held ctlock.Held
	interval := pollInterval
	w.holding.members.With(&held, func(map[ctid.Member]*member) {
		interval = w.demand.interval(w.holding.Clock.Now(), pollInterval)
		if w.watch.Len() > 0 {
			interval = hastyInterval
		}
	})
	return interval
}

// pause waits, or less where the monitor is hastened.
func (w *watch) pause(d time.Duration) {
	select {
	case <-w.watching.Done():
	case <-w.wake:
	case <-w.holding.Clock.After(d):
	}
}

func (m *member) put(e event) {
	m.holding.put(m.name, e)
}

// connect opens a connection for callers' requests.
func (h *Holder) connect(ctx context.Context, announced ctserver.Announcement) (*ctbackend.Conn, error) {
	connection, err := h.Dialer.Dial(ctx, announced, labelPrefix+h.label())
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

// label names this run of the proxy to backend servers.
func (h *Holder) label() string {
	return string(h.Self.Name) + "/" + strconv.FormatUint(uint64(h.Self.Incarnation), 16)
}
