package ctpools

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctreply"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// doubtReporter logs and counts the answers on one connection that don't belong to their
// queries.
type doubtReporter struct {
	logger zerolog.Logger
	// answers counts them by kind; nil if nothing is counted.
	answers *prometheus.CounterVec
	member  ctid.Member
	number  ctid.Connection
}

// reporter returns the reporter of a new connection to a member.
func (p *Pools) reporter(member ctid.Member) doubtReporter {
	number := ctid.Connection(p.connectionCount.Add(1))
	reporter := doubtReporter{logger: p.Logger, member: member, number: number}
	if p.Metrics != nil {
		reporter.answers = p.Metrics.AnswersInDoubt
	}
	return reporter
}

// reportMalformed reports that the connection brought something that is not an answer.
func (r *doubtReporter) reportMalformed(err error) {
	r.logger.Warn().Str("event", "answer_malformed").
		Str("error", err.Error()).
		Str("member", string(r.member)).
		Uint64("connection", uint64(r.number)).
		Send()
	r.count(ctreply.DoubtMalformed)
}

// count counts an answer in the metrics, if there are any.
func (r *doubtReporter) count(doubt ctreply.Doubt) {
	if r.answers != nil {
		r.answers.WithLabelValues(string(doubt)).Inc()
	}
}

// report reports an answer. The statement is nil if no query was outstanding.
func (r *doubtReporter) report(doubt ctreply.InDoubt, statement ctquery.Statement, answer ctquery.Answer) {
	r.logger.Warn().Str("event", "answer_in_doubt").
		Str("kind", string(doubt.Doubt)).
		Str("statement", ctreply.StatementName(statement)).
		Bool("proof", answer.Proof != "").
		Bool("proof_seen", doubt.ProofSeen).
		Str("fault", answer.Fault.String()).
		Stringer("transaction", answer.Transaction).
		Stringer("point", answer.Point).
		Str("member", string(r.member)).
		Uint64("connection", uint64(r.number)).
		Send()
	r.count(doubt.Doubt)
}
