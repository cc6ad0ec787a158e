package ctquorum_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// recoveryDuration is how long after the last process is back all of them must take entries.
	recoveryDuration = 12 * time.Second
	// keptPackets is how many packets wait for a process that is stopped or frozen.
	keptPackets = 64
	// maxAbsence is the longest time for which a process is stopped or frozen.
	maxAbsence = 4 * time.Second
	// busyInterval and quietInterval are the longest times between two commands while processes are
	// disturbed, and while they recover. A log that is compacted meanwhile ends some faults.
	busyInterval  = 200 * time.Millisecond
	quietInterval = 5 * time.Second
	// episodes is how often processes are disturbed and then have to recover, and maxAbsences how
	// often one is stopped or frozen in an episode.
	episodes    = 8
	maxAbsences = 4
)

// faultyCluster stops and freezes processes, and compacts their logs at different entries.
type faultyCluster struct {
	*cluster
	// backAt is when each process that is away comes back.
	backAt map[*process]time.Time
	// compactAt is the length of the log at which each process compacts it next.
	compactAt map[*process]int
}

// newFaultyCluster returns a cluster with late and repeated packets.
func newFaultyCluster(seed uint64, size, voterCount int) *faultyCluster {
	d := &faultyCluster{
		cluster: newClusterOf(seed, size, voterCount),
		backAt:  make(map[*process]time.Time), compactAt: make(map[*process]int),
	}
	d.run(settleDuration)
	d.keeps = keptPackets
	d.delay = func(_, _ ctid.Control) time.Duration {
		if d.random.IntN(50) == 0 {
			return time.Duration(d.random.IntN(1500)) * time.Millisecond
		}
		return time.Duration(d.random.IntN(20)) * time.Millisecond
	}
	return d
}

// runUnderLoad runs the cluster with commands at an interval, compactions, repeated packets and
// returns.
func (d *faultyCluster) runUnderLoad(duration, interval time.Duration) {
	proposeAt := d.now
	for until := d.now.Add(duration); d.now.Before(until); {
		if leader := d.leader(); leader != nil && !d.now.Before(proposeAt) {
			proposeAt = d.now.Add(interval)
			d.lastProposal++
			d.step(leader, ctquorum.Propose{ID: d.lastProposal, Data: []byte(fmt.Sprint(d.lastProposal))})
		}
		if len(d.packets) > 0 && d.random.IntN(10) == 0 {
			d.packets = append(d.packets, d.packets[d.random.IntN(len(d.packets))])
		}
		for _, m := range d.processes {
			d.returnIfDue(m)
			d.compact(m)
		}
		d.run(tickStep)
	}
}

func (d *faultyCluster) returnIfDue(m *process) {
	if !m.away || d.now.Before(d.backAt[m]) {
		return
	}
	m.away = false
	if m.node == nil {
		d.start(m)
	}
}

// compact compacts a process's log when it has reached a length that changes each time.
func (d *faultyCluster) compact(m *process) {
	if m.node == nil || m.away || m.node.LogLength() <= d.compactAt[m] {
		return
	}
	d.compactAt[m] = 10 + d.random.IntN(40)
	d.step(m, ctquorum.SnapshotCreated{Index: m.node.AppliedIndex(), Data: []byte("s")})
}

// disturb stops or freezes a process for a while.
func (d *faultyCluster) disturb() {
	m := d.processes[d.random.IntN(len(d.processes))]
	if m.away {
		return
	}
	m.away = true
	d.backAt[m] = d.now.Add(d.upTo(maxAbsence))
	if d.random.IntN(2) == 0 {
		m.node, m.leading = nil, false
	}
}

// upTo returns a random duration below a bound.
func (d *faultyCluster) upTo(bound time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(bound)))
}

// playEpisode stops and freezes processes, lets them come back, and returns a process that does not
// take an entry recoveryDuration later, or nothing.
func (d *faultyCluster) playEpisode() string {
	for range 1 + d.random.IntN(maxAbsences) {
		d.disturb()
		d.runUnderLoad(d.upTo(maxAbsence/2), d.upTo(busyInterval))
	}
	d.runUnderLoad(maxAbsence+recoveryDuration, quietInterval)
	leader := d.leader()
	if leader == nil {
		return "no leader"
	}
	wanted := leader.node.AppliedIndex() + 1
	d.runUnderLoad(2*quietInterval, quietInterval)
	for _, m := range d.processes {
		if applied := m.node.AppliedIndex(); applied < wanted {
			return fmt.Sprintf("%s has applied %d, and %d at least is committed", m.peer.Name, applied, wanted)
		}
	}
	return ""
}

// TestAllProcessesTakeEntries covers a control that took no order any more: a process that was
// away got the same entries without end, answered, and took none of them.
func TestAllProcessesTakeEntries(t *testing.T) {
	for _, c := range []struct{ size, voters, seeds int }{
		{clusterSize, clusterSize, 60},
		{sixProcesses, fiveVoters, 30},
	} {
		t.Run(fmt.Sprintf("%d processes, %d voters", c.size, c.voters), func(t *testing.T) {
			for seed := range c.seeds {
				d := newFaultyCluster(uint64(seed), c.size, c.voters)
				for episode := range episodes {
					assert.Equal(t, d.playEpisode(), "", "seed %d, episode %d", seed, episode)
				}
				assertNoViolations(t, d.cluster)
			}
		})
	}
}
