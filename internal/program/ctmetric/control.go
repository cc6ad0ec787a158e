package ctmetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Control holds the Prometheus metrics of a control process.
type Control struct {
	registry *prometheus.Registry

	// Replies counts answered frames and calls by frame and result.
	Replies *prometheus.CounterVec
	// ReplySeconds measures the time to answer, by frame.
	ReplySeconds *prometheus.HistogramVec
	// PromotionRequests counts promotion requests by outcome: accepted, deferred, rejected,
	// or unknown if there was no answer.
	PromotionRequests *prometheus.CounterVec
	// UnansweredPromotions is the number of promotion requests of this process that have no
	// answer yet.
	UnansweredPromotions prometheus.Gauge
	// PromotionAnswerSeconds measures the time from the transmission of a promotion request
	// to its answer.
	PromotionAnswerSeconds prometheus.Histogram
	// PromotionsWithoutAuthority counts the promotion requests that were written when this
	// process had no authority any more.
	PromotionsWithoutAuthority prometheus.Counter
	// UnsettledPromotions is the number of promotions that may still take effect, by group.
	UnsettledPromotions *prometheus.GaugeVec
	// PromotionsSettled counts the promotions that were settled while this process led, by
	// reason: answered, expired, or member_gone.
	PromotionsSettled *prometheus.CounterVec
	// AnswersInDoubt counts the answers of members that did not belong to their queries, by
	// the kind of doubt.
	AnswersInDoubt *prometheus.CounterVec
	// QuotaCaps is the sum of the caps of operations that the leader has granted to holders,
	// and QuotaCharges what counts in addition for former caps, by workspace.
	QuotaCaps    *prometheus.GaugeVec
	QuotaCharges *prometheus.GaugeVec
	// Intake counts the frames that needed a slot by the work that they ask for and the
	// decision: served, rejected or dropped.
	Intake *prometheus.CounterVec
	// IntakeWaitSeconds measures the time from the arrival of a frame to that decision.
	IntakeWaitSeconds *prometheus.HistogramVec
	// Connections counts the connections of other processes by decision: accepted, control (accepted
	// beyond the bound, as it is of a control process) or rejected.
	Connections *prometheus.CounterVec
	// PeerStreams counts the streams to other control processes that were opened or failed to open.
	PeerStreams *prometheus.CounterVec
	// QuorumState is 1 for what this process does in the quorum: it leads, follows, joins, knows no
	// leader as a voter, and votes.
	QuorumState *prometheus.GaugeVec
	// QuorumVoters is the number of voters by state: reachable, silent, or replaced by a later
	// incarnation. QuorumLearners is the number of learners, and QuorumLag how many entries of
	// the log each process lacks. Only a leader has them.
	QuorumVoters   *prometheus.GaugeVec
	QuorumLearners prometheus.Gauge
	QuorumLag      *prometheus.GaugeVec
	// JoinRequests counts the requests to join that this process received, by outcome.
	JoinRequests *prometheus.CounterVec
	// Panics counts connections that ended because their goroutine panicked.
	Panics prometheus.Counter
	// Clients has the metrics of the limits on clients.
	Clients Clients
}

// NewControl creates the metrics of a control process and registers them. It panics
// if the registry has them already.
func NewControl(registry *prometheus.Registry) *Control {
	registry.MustRegister(collectors.NewGoCollector())
	f := factory{registry: registry}
	return &Control{
		registry:     registry,
		Replies:      f.counterVec("control_answers_total", "Answered frames and calls.", "frame", "result"),
		ReplySeconds: f.histogramVec("control_answer_seconds", "Time of answers.", "frame"),
		PromotionRequests: f.counterVec(
			"control_promotion_requests_total", "Requests to promote members.", "outcome"),
		UnansweredPromotions: f.gauge(
			"control_promotion_requests_unanswered", "Requests to promote members without an answer."),
		PromotionAnswerSeconds: f.histogram(
			"control_promotion_answer_seconds", "Time from the transmission of a promotion request to its answer."),
		PromotionsWithoutAuthority: f.counter(
			"control_promotion_requests_without_authority_total", "Promotion requests written without authority."),
		UnsettledPromotions: f.gaugeVec(
			"control_promotions_unsettled", "Promotions that may still take effect.", "group"),
		PromotionsSettled: f.counterVec(
			"control_promotions_settled_total", "Promotions that can't take effect any more.", "reason"),
		AnswersInDoubt: f.counterVec("control_answers_in_doubt_total", answersInDoubtHelp, "kind"),
		QuotaCaps:      f.gaugeVec("control_quota_caps", "Caps of operations in a window.", "workspace"),
		QuotaCharges: f.gaugeVec(
			"control_quota_charges", "Operations that count for lowered and expired caps.", "workspace"),
		Panics:  f.counter("panics_total", panicsHelp),
		Clients: newClients(f),
		Intake:  f.counterVec("control_intake_total", "Frames by decision of the intake.", "work", "decision"),
		IntakeWaitSeconds: f.histogramVec(
			"control_intake_wait_seconds", "Time from the arrival of a frame to the decision of the intake.", "work"),
		Connections:    f.counterVec("control_connections_total", "Connections of other processes.", "decision"),
		PeerStreams:    f.counterVec("control_peer_streams_total", "Streams to other control processes.", "result"),
		QuorumState:    f.gaugeVec("control_state", "What this process does in the quorum.", "state"),
		QuorumVoters:   f.gaugeVec("control_voters", "Voters, on the leader.", "state"),
		QuorumLearners: f.gauge("control_learners", "Processes that receive the log and don't vote, on the leader."),
		QuorumLag:      f.gaugeVec("control_log_lag_entries", "Entries that a process lacks, on the leader.", "process"),
		JoinRequests:   f.counterVec("control_join_requests_total", "Received requests to join.", "outcome"),
	}
}

// Handler returns the HTTP handler that exposes the metrics.
func (c *Control) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{})
}
