package ctcontrol

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// quorumTickInterval is the interval between two Tick events of the node.
	quorumTickInterval = 20 * time.Millisecond
	// compactEntries is the number of log entries above which a snapshot is made.
	compactEntries = 2000
	// compactBytes is the number of command bytes in the log above which a snapshot is
	// made. The commands in the log are applied again at the next start.
	compactBytes = 256 << 10
)

// StateMachine is the state that the replicated log drives. One worker calls its methods,
// in the order of the log.
type StateMachine interface {
	// Apply applies a committed command.
	Apply(index ctquorum.Index, data []byte) error
	// Snapshot returns the encoded state after the applied commands.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
	// BecomeLeader is called when this process becomes the leader of an epoch.
	BecomeLeader(epoch ctquorum.Epoch)
	// BecomeFollower is called when another process leads, or none does. The leader is
	// the zero value for none.
	BecomeFollower(leader ctquorum.Peer)
	// SetAuthority sets until when this process has authority as the leader. It is the
	// zero time for none.
	SetAuthority(expiresAt time.Time)
	// CompleteProposal is called with the outcome of a proposal. The index is 0 if the
	// proposal was rejected or its outcome is unknown.
	CompleteProposal(id ctquorum.ProposalID, index ctquorum.Index)
}

// PeerAddress is the name and address of another control process.
type PeerAddress struct {
	Name    ctid.Control
	Address netip.AddrPort
}

// Replica runs the replicated log of a control process.
type Replica struct {
	self      ctquorum.Peer
	disk      *disk
	peers     []PeerAddress
	transport ctframe.Transport
	// resolve returns the address of a process that is not among the peers. It is nil if
	// there are no such processes.
	resolve func(ctid.Control) (netip.AddrPort, bool)
	// voterCount is how many voters the leader keeps. If it is 0, every process votes and
	// only operators remove voters.
	voterCount int
	clock      ctclock.Clock
	logger     zerolog.Logger
	// metrics may be nil.
	metrics *ctmetric.Control
	machine StateMachine

	node     cttable.Cell[*ctquorum.Node]
	pool     ctpool.Pool[ctquorum.Event]
	outboxes map[ctid.Control]*outbox
	links    links
	watch    quorumWatch
	ctx      context.Context
	failed   chan error
}

// Start loads the durable state and joins the other processes of control until ctx ends.
func (r *Replica) Start(ctx context.Context, machine StateMachine, random ctquorum.Random) error {
	durable, err := r.disk.load()
	if err != nil {
		return err
	}
	if len(durable.Snapshot.Data) > 0 {
		if err := machine.Restore(durable.Snapshot.Data); err != nil {
			return err
		}
	}
	var seeds []ctquorum.Peer
	for _, c := range r.peers {
		seeds = append(seeds, ctquorum.Peer{Name: c.Name})
	}
	r.machine = machine
	r.failed = make(chan error, 1)
	r.node = cttable.Cell[*ctquorum.Node]{Rank: ctlock.RankQuorum}
	var held ctlock.Held
	r.node.With(&held, func(n **ctquorum.Node) {
		*n = ctquorum.New(r.clock.Now(), r.self, durable, seeds, random)
		(*n).VoterCount = r.voterCount
	})
	r.startWatch()
	r.outboxes = make(map[ctid.Control]*outbox)
	r.ctx = ctx
	for _, c := range r.peers {
		r.openOutbox(c)
	}
	r.pool = ctpool.Pool[ctquorum.Event]{Workers: 1, Handle: r.handle}
	r.pool.Start()
	go r.tick(ctx)
	return nil
}

// Failed returns a channel that receives an error when the disk or the state machine has
// failed. The process must then end, because it can no longer make its votes and entries
// durable.
func (r *Replica) Failed() <-chan error {
	return r.failed
}

// Propose requests that a command be appended to the log. It does not wait: the state
// machine's CompleteProposal receives the outcome.
func (r *Replica) Propose(id ctquorum.ProposalID, data []byte) {
	r.pool.Put(0, ctquorum.Propose{ID: id, Data: data})
}

// RemoveVoter requests the removal of a voter. It does not wait: Voters shows when the
// voter is removed.
func (r *Replica) RemoveVoter(voter ctquorum.Peer) {
	r.pool.Put(0, ctquorum.RemoveVoter{Peer: voter})
}

// Receive queues a message of another control process. It drops a message for another
// process. Of a message for another incarnation of this process's disk it queues only the
// sender.
func (r *Replica) Receive(frame *ctframe.Quorum) {
	if frame.To.Name != r.self.Name {
		return
	}
	message := frame.Message()
	current := frame.To.Incarnation == 0 || frame.To.Incarnation == r.self.Incarnation
	r.links.addReceived(r.clock.Now(), frame.From.Name, message, !current)
	if !current {
		r.pool.Put(0, ctquorum.Misaddressed{From: frame.From})
		return
	}
	r.pool.Put(0, ctquorum.Received{From: frame.From, Message: message})
}

// serveStream receives the messages of other control processes on a stream and answers
// all other frames with handler. It returns when the stream ends or handler returns nil.
func (r *Replica) serveStream(
	ctx context.Context, stream ctframe.Stream,
	handler func(ctx context.Context, held *ctlock.Held, frame ctframe.Frame) ctframe.Frame,
) {
	var held ctlock.Held
	for {
		frame, err := stream.Read()
		if err != nil {
			return
		}
		if message, ok := frame.(*ctframe.Quorum); ok {
			r.Receive(message)
			continue
		}
		reply := handler(ctx, &held, frame)
		if reply == nil || stream.Write(reply) != nil {
			return
		}
	}
}

// Voters returns the voters that this process knows of.
func (r *Replica) Voters(held *ctlock.Held) []ctquorum.Peer {
	var voters []ctquorum.Peer
	r.node.With(held, func(n **ctquorum.Node) { voters = (*n).Voters() })
	return voters
}

// Controls returns the names of the control processes that this process knows of: the leader, the
// voters and, while it joins, those that it asks.
func (r *Replica) Controls(held *ctlock.Held) []ctid.Control {
	var known []ctquorum.Peer
	r.node.With(held, func(n **ctquorum.Node) {
		known = append([]ctquorum.Peer{(*n).Leader()}, (*n).Voters()...)
		for _, answer := range (*n).JoinAnswers() {
			known = append(known, answer.Leader, answer.From)
		}
	})
	var names []ctid.Control
	for _, name := range voterNames(known) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// SetSeeds replaces the processes that this process asks to let it join.
func (r *Replica) SetSeeds(held *ctlock.Held, names []ctid.Control) {
	var seeds []ctquorum.Peer
	for _, name := range names {
		if name != r.self.Name {
			seeds = append(seeds, ctquorum.Peer{Name: name})
		}
	}
	r.node.With(held, func(n **ctquorum.Node) { (*n).SetSeeds(seeds) })
}

func (r *Replica) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			r.pool.Stop()
			return
		case <-r.clock.After(quorumTickInterval):
			r.pool.Put(0, ctquorum.Tick{})
		}
	}
}

// handle passes an event to the node and performs the resulting effects in order. Only
// the worker calls it. The node is not locked while the effects are performed.
func (r *Replica) handle(held *ctlock.Held, event ctquorum.Event) {
	if received, ok := event.(ctquorum.Received); ok {
		r.renewOutbox(received.From)
	}
	var effects []ctquorum.Effect
	var expiresAt time.Time
	compact := false
	now := r.clock.Now()
	var status ctquorum.Status
	r.node.With(held, func(n **ctquorum.Node) {
		effects = (*n).Step(now, event)
		expiresAt = (*n).AuthorityExpiry()
		compact = (*n).LogLength() > compactEntries || (*n).LogBytes() > compactBytes
		if r.watch.wants(now, event) {
			status = (*n).Status(now)
		}
	})
	for _, effect := range effects {
		if err := r.perform(effect); err != nil {
			r.reportFailure(err)
			return
		}
	}
	r.machine.SetAuthority(expiresAt)
	if status != nil {
		r.watch.observe(held, now, event, status)
	}
	if _, compacted := event.(ctquorum.SnapshotCreated); compact && !compacted {
		r.compact(held)
	}
}

// reportFailure sends the error to the channel of Failed, unless an earlier one is still
// there.
func (r *Replica) reportFailure(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

func (r *Replica) perform(effect ctquorum.Effect) error {
	switch e := effect.(type) {
	case ctquorum.Persist:
		return r.disk.write(e)
	case ctquorum.Send:
		r.send(e)
	case ctquorum.Apply:
		return r.apply(e.Entries)
	case ctquorum.Restore:
		return r.machine.Restore(e.Snapshot.Data)
	case ctquorum.Committed:
		r.machine.CompleteProposal(e.ID, e.Index)
	case ctquorum.Rejected:
		r.machine.CompleteProposal(e.ID, 0)
	case ctquorum.BecameLeader:
		r.machine.BecomeLeader(e.Epoch)
	case ctquorum.LeaderChanged:
		r.machine.BecomeFollower(e.Leader)
	}
	return nil
}

func (r *Replica) apply(entries []ctquorum.Entry) error {
	var failures []error
	for _, e := range entries {
		if len(e.Voters) > 0 {
			r.logger.Info().Str("event", "decision").Str("decision", "control_voters").
				Interface("voters", e.Voters).Str("why", "committed").Send()
		}
		if len(e.Data) > 0 {
			failures = append(failures, r.machine.Apply(e.Index, e.Data))
		}
	}
	return errors.Join(failures...)
}

// compact replaces the applied part of the log by a snapshot.
func (r *Replica) compact(held *ctlock.Held) {
	data, err := r.machine.Snapshot()
	if err != nil {
		r.reportFailure(err)
		return
	}
	var index ctquorum.Index
	r.node.With(held, func(n **ctquorum.Node) { index = (*n).AppliedIndex() })
	r.handle(held, ctquorum.SnapshotCreated{Index: index, Data: data})
}
