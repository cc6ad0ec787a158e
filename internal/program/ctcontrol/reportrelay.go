package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// relayTimeout is how long a report waits here for the leader's reply. The proxy, which
	// waits somewhat longer, then tries another control process.
	relayTimeout = 500 * time.Millisecond
	// maxBatchSize is the highest number of reports in one batch.
	maxBatchSize = 1024
)

// reportRelay forwards the reports of proxies to the leader in batches. While a batch is
// under way, the reports that arrive form the next one. The leader's work thus grows with
// the number of control processes more than with that of proxies, and a proxy need not
// know which process leads. Use newReportRelay to create one.
type reportRelay struct {
	clock   ctclock.Clock
	waiting cttable.Cell[[]*relayedReport]
	// arrived receives a value when a report was added to an empty list.
	arrived chan struct{}
	// send sends a batch to the leader, together with the version of the view here.
	send func(ctx context.Context, reports []ctview.Report) (*ctframe.ReportBatchReply, error)
}

// relayedReport is a report that waits for the leader's reply.
type relayedReport struct {
	report *ctview.Report
	// reply receives the reply, or nil if the leader could not be reached.
	reply chan *ctview.Reply
}

func newReportRelay(
	clock ctclock.Clock, send func(ctx context.Context, reports []ctview.Report) (*ctframe.ReportBatchReply, error),
) *reportRelay {
	return &reportRelay{
		clock:   clock,
		waiting: cttable.Cell[[]*relayedReport]{Rank: ctlock.RankAnnouncements},
		arrived: make(chan struct{}, 1),
		send:    send,
	}
}

// forward sends a report to the leader and returns the reply, or nil if there is none
// within relayTimeout.
func (r *reportRelay) forward(ctx context.Context, held *ctlock.Held, report *ctview.Report) *ctview.Reply {
	relayed := &relayedReport{report: report, reply: make(chan *ctview.Reply, 1)}
	r.waiting.With(held, func(waiting *[]*relayedReport) { *waiting = append(*waiting, relayed) })
	select {
	case r.arrived <- struct{}{}:
	default:
	}
	select {
	case reply := <-relayed.reply:
		return reply
	case <-ctx.Done():
	case <-r.clock.After(relayTimeout):
	}
	r.waiting.With(held, func(waiting *[]*relayedReport) {
		*waiting = slices.DeleteFunc(*waiting, func(other *relayedReport) bool { return other == relayed })
	})
	return nil
}

// run sends batches to the leader until ctx ends.
func (r *reportRelay) run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.arrived:
		}
		for batch := r.nextBatch(&held); len(batch) > 0; batch = r.nextBatch(&held) {
			r.sendBatch(ctx, batch)
		}
	}
}

// nextBatch removes the reports that wait, at most maxBatchSize of them.
func (r *reportRelay) nextBatch(held *ctlock.Held) []*relayedReport {
	var batch []*relayedReport
	r.waiting.With(held, func(waiting *[]*relayedReport) {
		count := min(len(*waiting), maxBatchSize)
		batch = slices.Clone((*waiting)[:count])
		*waiting = slices.Delete(*waiting, 0, count)
	})
	return batch
}

// sendBatch sends a batch to the leader and passes the replies on.
func (r *reportRelay) sendBatch(ctx context.Context, batch []*relayedReport) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reports := make([]ctview.Report, 0, len(batch))
	for _, b := range batch {
		reports = append(reports, *b.report)
	}
	reply, err := r.send(ctx, reports)
	for i, b := range batch {
		if err != nil || i >= len(reply.Replies) {
			b.reply <- nil
			continue
		}
		b.reply <- &reply.Replies[i]
	}
}

// HandleReportBatch applies the reports of proxies that another control process forwards,
// and returns the replies with what is newer than that process's view. It returns nil
// without authority, so that the proxies try another process.
func (c *Control) HandleReportBatch(held *ctlock.Held, batch *ctframe.ReportBatch) *ctframe.ReportBatchReply {
	reply := &ctframe.ReportBatchReply{}
	sampled := make(map[ctid.Group]bool)
	for i := range batch.Reports {
		answer := c.HandleReport(held, &batch.Reports[i])
		if answer.NotLeader {
			return nil
		}
		for _, sample := range answer.LogSamples {
			if !sampled[sample.Group] {
				sampled[sample.Group] = true
				reply.Relay.LogSamples = append(reply.Relay.LogSamples, sample)
			}
		}
		answer.Delta, answer.Groups, answer.LogSamples = nil, nil, nil
		reply.Replies = append(reply.Replies, *answer)
	}
	c.state.With(held, func(l *leaderState) {
		if batch.Version == l.roster.Version() {
			return
		}
		delta := l.deltaFor(c.Clock.Now(), batch.Version, batch.Revision)
		if delta == nil || delta.Large() {
			// A watch delivers a large delta.
			reply.Relay.Groups = slices.Collect(maps.Values(l.register.Groups))
			return
		}
		reply.Relay.Delta = delta
	})
	return reply
}

// sendReports sends the reports of proxies to the leader, applies what is newer in the
// leader's view, and completes the replies from it.
func (s *Service) sendReports(ctx context.Context, reports []ctview.Report) (*ctframe.ReportBatchReply, error) {
	var held ctlock.Held
	view := s.views.view(&held)
	answer, err := s.callLeader(ctx, &ctframe.ReportBatch{
		Version: view.Version, Revision: view.Config.Revision, Reports: reports,
	})
	if err != nil {
		return nil, err
	}
	batch, ok := answer.(*ctframe.ReportBatchReply)
	if !ok {
		return nil, unexpectedReplyError()
	}
	if err := s.views.apply(&held, &batch.Relay); err != nil {
		s.Logger.Info().Str("event", "view_failed").Str("error", err.Error()).Send()
	}
	view = s.views.view(&held)
	for i := range min(len(batch.Replies), len(reports)) {
		completeReply(&batch.Replies[i], &reports[i], view, &batch.Relay.Reply)
	}
	return batch, nil
}

// completeReply adds the log samples of the groups that the report names. If the proxy may
// have an earlier view, it also adds the state of those groups and of all whose primary is
// changing.
func completeReply(reply *ctview.Reply, report *ctview.Report, view *ctview.View, relay *ctview.Reply) {
	used := reportedGroups(report, func(member ctid.Member) (ctid.Group, bool) {
		announcement, ok := view.Members[member]
		return announcement.Group, ok
	})
	for _, sample := range relay.LogSamples {
		if slices.Contains(used, sample.Group) {
			reply.LogSamples = append(reply.LogSamples, sample)
		}
	}
	if report.Version < view.Version || len(relay.Groups) > 0 {
		reply.Groups = neededGroups(view.Groups, used)
	}
}
