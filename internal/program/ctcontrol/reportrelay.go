package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// relayTimeout is how long a report waits here for the leader's reply. The proxy, which
// waits somewhat longer, then tries another control process.
const relayTimeout = 500 * time.Millisecond

// HandleReportBatch applies the reports of proxies that another control process forwards.
// It returns the replies with the groups that are ahead of that process's view, or that a
// proxy whose authority has lapsed may not know; the view itself follows with a watch,
// whose notifications are throttled. It returns nil if this process does not lead.
func (c *Control) HandleReportBatch(held *ctlock.Held, batch *ctframe.ReportBatch) *ctframe.ReportBatchReply {
	reply := &ctframe.ReportBatchReply{}
	sampled := make(map[ctid.Group]bool)
	ahead := make(groupSet)
	for i := range batch.Reports {
		answer := c.handleReport(held, &batch.Reports[i], true)
		if answer.NotLeader {
			return nil
		}
		for _, sample := range answer.LogSamples {
			if !sampled[sample.Group] {
				sampled[sample.Group] = true
				reply.Relay.LogSamples = append(reply.Relay.LogSamples, sample)
			}
		}
		if batch.Reports[i].Lapsed {
			ahead.add(answer.Groups)
		}
		answer.Groups, answer.LogSamples = nil, nil
		reply.Replies = append(reply.Replies, *answer)
	}
	c.state.With(held, func(l *leaderState) { ahead.add(l.groupsAhead(batch)) })
	reply.Relay.Groups = ahead.list()
	return reply
}

// groupSet holds groups, each once and as it was added last.
type groupSet map[ctid.Group]ctview.Group

func (s groupSet) add(groups []ctview.Group) {
	for _, g := range groups {
		s[g.Name] = g
	}
}

func (s groupSet) list() []ctview.Group {
	return slices.Collect(maps.Values(s))
}

// mergeGroups returns the groups of two lists, each once and as in the newer list if it is
// in both.
func mergeGroups(older, newer []ctview.Group) []ctview.Group {
	merged := make(groupSet)
	merged.add(older)
	merged.add(newer)
	return merged.list()
}

// groupsAhead returns the groups that have changed since the view of a process that sent a
// batch. If another leader issued that view, these are all that its proxies use.
func (l *leaderState) groupsAhead(batch *ctframe.ReportBatch) []ctview.Group {
	if l.roster.Issued(batch.Version) {
		return l.roster.GroupsSince(batch.Version)
	}
	var used []ctid.Group
	for i := range batch.Reports {
		used = append(used, reportedGroups(&batch.Reports[i], l.groupOf)...)
	}
	return neededGroups(l.register.Groups, used)
}

// sendReports sends the reports of proxies to the leader, applies the groups that are ahead
// of the view here, and completes the replies from it.
func (s *Service) sendReports(ctx context.Context, reports []ctview.Report) ([]ctview.Reply, error) {
	var held ctlock.Held
	view := s.views.view(&held)
	answer, err := s.retryLeader(ctx, relayTimeout, &ctframe.ReportBatch{
		Version: view.Version, Revision: view.Config.Revision, Reports: reports,
	})
	if err != nil {
		return nil, err
	}
	batch, ok := answer.(*ctframe.ReportBatchReply)
	if !ok {
		return nil, unexpectedReplyError()
	}
	view = s.views.applyGroups(&held, batch.Relay.Groups)
	for i := range min(len(batch.Replies), len(reports)) {
		completeReply(&batch.Replies[i], &reports[i], view, &batch.Relay)
	}
	return batch.Replies, nil
}

// completeReply adds the log samples of the groups that the report names, or of all in a fleet
// with few groups. If the proxy may have an earlier view, it also adds the state of those groups
// and of all whose primary is changing, and for a proxy whose authority has lapsed all that the
// leader sent.
func completeReply(reply *ctview.Reply, report *ctview.Report, view *ctview.View, relay *ctview.Reply) {
	used := reportedGroups(report, func(member ctid.Member) (ctid.Group, bool) {
		announcement, ok := view.Members[member]
		return announcement.Group, ok
	})
	for _, sample := range relay.LogSamples {
		if len(view.Groups) <= ctview.TrackAllLimit || slices.Contains(used, sample.Group) {
			reply.LogSamples = append(reply.LogSamples, sample)
		}
	}
	if report.Version < view.Version || len(relay.Groups) > 0 {
		reply.Groups = neededGroups(view.Groups, used)
	}
	if report.Lapsed {
		reply.Groups = mergeGroups(reply.Groups, relay.Groups)
	}
}
