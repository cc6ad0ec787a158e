package ctcontrol

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// statusInterval is the time between two observations of the status of the node.
	statusInterval = 100 * time.Millisecond
	// joinLogInterval is the shortest time between two lines about a join that is pending,
	// and the shortest join of a process that had joined before that is logged.
	joinLogInterval = 2 * time.Second
	// riskLogInterval is the shortest time between two lines about voters at risk.
	riskLogInterval = 2 * time.Second
	// joinRejectedInterval is the shortest time between two lines about rejected requests of
	// one sender.
	joinRejectedInterval = 5 * time.Second
	// joinGrace is how long after its start a process that joins may keep callers waiting, like
	// one that waits for the next leader.
	joinGrace = forwardTimeout
	// maxJoinSenders bounds the senders whose rejected requests are logged.
	maxJoinSenders = 64
)

// quorumWatch logs and counts what changes in the quorum. Only the replica's worker uses it.
type quorumWatch struct {
	logger  *zerolog.Logger
	metrics *ctmetric.Control
	links   *links

	nextStatusAt      time.Time
	nextJoinPendingAt time.Time
	nextRiskAt        time.Time
	// joining is the last status if that was Joining, and nil otherwise.
	joining *ctquorum.Joining
	// unjoined reports that the process has not joined since its start, and that joinGrace is
	// over. It is read by all goroutines.
	unjoined atomic.Bool
	// learners and voters are those of the last status while this process leads.
	learners, voters map[ctquorum.Peer]bool
	// margin is the one that was logged last. It is the zero value while there is no risk.
	margin ctquorum.Margin
	// joinRejectedAt is when a rejected request of a sender was last logged.
	joinRejectedAt map[ctid.Control]time.Time
	// lags holds the processes whose lag is among the metrics.
	lags map[ctid.Control]bool
}

// startWatch creates the records of the quorum.
func (r *Replica) startWatch() {
	if r.metrics == nil {
		r.metrics = ctmetric.NewControl(prometheus.NewRegistry())
	}
	r.links.table.Rank = ctlock.RankLinks
	r.watch.logger, r.watch.metrics, r.watch.links = &r.logger, r.metrics, &r.links
}

// Unjoined reports that this process has not joined the others since its start, so that it can
// serve nobody. It is false right after the start and once a leader was heard.
func (r *Replica) Unjoined() bool {
	return r.watch.unjoined.Load()
}

// wants reports whether the status is to be observed after an event.
func (w *quorumWatch) wants(now time.Time, event ctquorum.Event) bool {
	switch e := event.(type) {
	case ctquorum.Tick:
		return !now.Before(w.nextStatusAt)
	case ctquorum.Received:
		_, joins := e.Message.(ctquorum.JoinRequest)
		return joins
	}
	return false
}

// observe logs and counts the status after an event.
func (w *quorumWatch) observe(held *ctlock.Held, now time.Time, event ctquorum.Event, status ctquorum.Status) {
	if e, ok := event.(ctquorum.Received); ok {
		w.observeJoinRequest(now, e.From, status)
		return
	}
	w.nextStatusAt = now.Add(statusInterval)
	w.setMetrics(status)
	joining, joins := status.(ctquorum.Joining)
	w.unjoined.Store(joins && !joining.Votes && !joining.HeardLeader && !now.Before(joining.Since.Add(joinGrace)))
	switch s := status.(type) {
	case ctquorum.Joining:
		w.observeJoining(held, now, s)
	case ctquorum.Following:
		if s.Leader != (ctquorum.Peer{}) {
			w.observeJoined(now, s.Leader)
		}
	case ctquorum.Leading:
		w.observeLearners(s)
		w.observeMargin(now, s)
		return
	}
	w.learners, w.voters, w.margin = nil, nil, ctquorum.Margin{}
}

// observeJoining logs that the join is pending: whom this process asks, and what came back.
func (w *quorumWatch) observeJoining(held *ctlock.Held, now time.Time, s ctquorum.Joining) {
	w.joining = &s
	if now.Before(s.Since.Add(joinLogInterval)) || now.Before(w.nextJoinPendingAt) {
		return
	}
	w.nextJoinPendingAt = now.Add(joinLogInterval)
	w.logger.Warn().Str("event", "join_pending").Float64("for_s", now.Sub(s.Since).Seconds()).
		Bool("joined_before", s.HeardLeader).Bool("votes", s.Votes).
		Interface("processes", w.links.states(held, now, s.Asked)).Send()
}

// observeJoined logs the end of a join.
func (w *quorumWatch) observeJoined(now time.Time, leader ctquorum.Peer) {
	if w.joining == nil {
		return
	}
	took := now.Sub(w.joining.Since)
	if !w.joining.HeardLeader || took >= joinLogInterval {
		w.logger.Info().Str("event", "joined").Str("leader", string(leader.Name)).
			Float64("took_s", took.Seconds()).Send()
	}
	w.joining = nil
}

// observeLearners logs the learners that came and went since the last status.
func (w *quorumWatch) observeLearners(s ctquorum.Leading) {
	learners, voters := peerSet(s.Learners), peerSet(s.Voters)
	for _, learner := range s.Learners {
		if !w.learners[learner.Peer] {
			why := "asked_to_join"
			if w.voters[learner.Peer] {
				why = "votes_no_more"
			}
			w.logLearner("learner_added", learner.Peer, why)
		}
	}
	for peer := range w.learners {
		switch {
		case voters[peer]:
			w.logLearner("learner_removed", peer, "became_voter")
		case !learners[peer]:
			w.logLearner("learner_removed", peer, "silent")
		}
	}
	w.learners, w.voters = learners, voters
}

func (w *quorumWatch) logLearner(event string, peer ctquorum.Peer, why string) {
	w.logger.Info().Str("event", event).Str("name", string(peer.Name)).
		Uint64("incarnation", uint64(peer.Incarnation)).Str("why", why).Send()
}

func peerSet(peers []ctquorum.PeerStatus) map[ctquorum.Peer]bool {
	set := make(map[ctquorum.Peer]bool, len(peers))
	for _, p := range peers {
		set[p.Peer] = true
	}
	return set
}

// observeMargin warns when voters are lost, and logs the end of that.
func (w *quorumWatch) observeMargin(now time.Time, s ctquorum.Leading) {
	margin := s.Margin()
	if !margin.AtRisk() {
		margin = ctquorum.Margin{}
	}
	if margin == w.margin || now.Before(w.nextRiskAt) {
		return
	}
	w.nextRiskAt = now.Add(riskLogInterval)
	w.margin = margin
	if !margin.AtRisk() {
		w.logger.Info().Str("event", "voters_safe").Str("voters", s.Margin().String()).Send()
		return
	}
	var lost []lostVoter
	for _, v := range s.Voters {
		if v.Loss != ctquorum.NotLost {
			lost = append(lost, lostVoter{Name: v.Peer.Name, Incarnation: v.Peer.Incarnation, Why: v.Loss})
		}
	}
	w.logger.Warn().Str("event", "voters_at_risk").Str("voters", margin.String()).Interface("lost", lost).Send()
}

// lostVoter is a lost voter as the log shows it.
type lostVoter struct {
	Name        ctid.Control     `json:"name"`
	Incarnation ctid.Incarnation `json:"incarnation"`
	Why         ctquorum.Loss    `json:"why"`
}

// observeJoinRequest counts a request to join, and logs it if it was not accepted.
func (w *quorumWatch) observeJoinRequest(now time.Time, from ctquorum.Peer, status ctquorum.Status) {
	outcome, leader := joinOutcome(from, status)
	w.metrics.JoinRequests.WithLabelValues(outcome).Inc()
	if outcome == joinAccepted {
		return
	}
	if w.joinRejectedAt == nil || len(w.joinRejectedAt) >= maxJoinSenders {
		w.joinRejectedAt = make(map[ctid.Control]time.Time)
	}
	if last, ok := w.joinRejectedAt[from.Name]; ok && now.Before(last.Add(joinRejectedInterval)) {
		return
	}
	w.joinRejectedAt[from.Name] = now
	level := zerolog.WarnLevel
	if outcome == joinNotLeader {
		// The sender goes on to the leader.
		level = zerolog.InfoLevel
	}
	w.logger.WithLevel(level).Str("event", "join_rejected").Str("from", string(from.Name)).
		Uint64("incarnation", uint64(from.Incarnation)).Str("why", outcome).Str("leader", string(leader.Name)).Send()
}

// The outcomes of requests to join, in logs and metrics.
const (
	joinAccepted       = "accepted"
	joinLeaderNotReady = "leader_not_ready"
	joinNotLeader      = "not_leader"
	joinNoLeader       = "no_leader"
)

// joinOutcome returns what became of a request to join that led to the status, and the leader
// that this process follows.
func joinOutcome(from ctquorum.Peer, status ctquorum.Status) (outcome string, leader ctquorum.Peer) {
	switch s := status.(type) {
	case ctquorum.Leading:
		if peerSet(s.Learners)[from] || peerSet(s.Voters)[from] {
			return joinAccepted, ctquorum.Peer{}
		}
		return joinLeaderNotReady, ctquorum.Peer{}
	case ctquorum.Following:
		if s.Leader != (ctquorum.Peer{}) {
			return joinNotLeader, s.Leader
		}
	}
	return joinNoLeader, ctquorum.Peer{}
}
