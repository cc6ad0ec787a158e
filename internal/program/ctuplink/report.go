package ctuplink

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// sendReports sends a report at each heartbeat, and at once after TriggerReport, until
// ctx ends or the proxy is deregistered.
func (u *Uplink) sendReports(ctx context.Context) {
	link := u.newLink()
	defer link.close()
	var held ctlock.Held
	for number := uint64(1); ctx.Err() == nil && !u.deregistered.Load(); number++ {
		err := u.reportOnce(ctx, link, &held, func(now time.Time) *ctview.Report { return u.buildReport(&held, now, number) })
		if err != nil {
			if u.recordDeferral(ctx, link, err) {
				continue
			}
			u.Metrics.Reports.WithLabelValues("failed").Inc()
			u.recordControlLost(link, err)
			u.pauseAfterFailure(ctx, link, &held)
			continue
		}
		u.Metrics.Reports.WithLabelValues("answered").Inc()
		u.recordControlRegained(link)
		select {
		case <-ctx.Done():
		case <-u.reportNow:
		case <-u.Clock.After(u.reportInterval(&held)):
		}
	}
}

// pauseAfterFailure waits until the next attempt to reach control. A change does not end
// the wait: it would defeat the backoff, and the next report contains it anyway.
func (u *Uplink) pauseAfterFailure(ctx context.Context, link *controlLink, held *ctlock.Held) {
	link.seeker.RecordFailure()
	u.pause(ctx, link.seeker.Delay(len(u.controlAddresses(held))))
}

const (
	// intervalPerProxy is what each proxy of the fleet adds to the time between two
	// reports, so that control's leader gets no more reports per second than it can
	// answer.
	intervalPerProxy = 3 * time.Millisecond
	// maxReportInterval is the longest time between two reports: a proxy's authority
	// must not expire because one report is lost.
	maxReportInterval = time.Second
)

// reportInterval returns the time between two reports, which grows with the number of
// proxies. Without Options.Groups it is always the heartbeat interval, because write
// leases are too short for a longer one.
func (u *Uplink) reportInterval(held *ctlock.Held) time.Duration {
	if u.Groups == nil {
		return u.HeartbeatInterval
	}
	share := time.Duration(len(u.State.View(held).Proxies)) * intervalPerProxy
	return max(u.HeartbeatInterval, min(share, maxReportInterval))
}

// recordControlLost records that a report failed. It logs the first failure in a row
// at level info and the others at level debug.
func (u *Uplink) recordControlLost(link *controlLink, err error) {
	var held ctlock.Held
	u.route.With(&held, func(value *route) { *value = route{} })
	line := u.Logger.Debug()
	if link.lostSince.IsZero() {
		link.lostSince = u.Clock.Now()
		line = u.Logger.Info()
	}
	line.Str("event", "control_lost").Stringer("address", targetAddress(link.target)).Str("error", err.Error()).Send()
}

// recordControlRegained records that a report was answered, and logs the first one
// after failures.
func (u *Uplink) recordControlRegained(link *controlLink) {
	var held ctlock.Held
	_, relayed := link.target.(ctseek.Relay)
	current := route{address: targetAddress(link.target), relayed: relayed}
	u.route.With(&held, func(value *route) {
		if *value != current {
			*value = current
			u.signalRoute()
		}
	})
	if link.lostSince.IsZero() {
		return
	}
	u.Logger.Info().Str("event", "control_regained").Stringer("address", current.address).
		Bool("relayed", relayed).Dur("after", u.Clock.Now().Sub(link.lostSince)).Send()
	link.lostSince = time.Time{}
}

// signalRoute wakes the watch that waits for a route.
func (u *Uplink) signalRoute() {
	select {
	case u.routeFound <- struct{}{}:
	default:
	}
}

// Deregister sends the last report, which says that this proxy stops and has released
// all that it held. Run begins no report after it. If control defers the report, it is sent
// again, and after a failure to the next process, until ctx ends.
func (u *Uplink) Deregister(ctx context.Context) error {
	u.deregistered.Store(true)
	link := u.newLink()
	defer link.close()
	var held ctlock.Held
	if current := u.route.Get(&held); current.address.IsValid() && !current.relayed {
		link.seeker.Prefer(current.address)
	}
	for {
		err := u.reportOnce(ctx, link, &held, func(now time.Time) *ctview.Report {
			report := u.buildReport(&held, now, finalReportNumber)
			report.Stopping = true
			return report
		})
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !u.recordDeferral(ctx, link, err) {
			u.pauseAfterFailure(ctx, link, &held)
		}
	}
}

// reportOnce builds a report, sends it and applies its reply. What the reply grants counts
// from before the report was built.
func (u *Uplink) reportOnce(
	ctx context.Context, link *controlLink, held *ctlock.Held, build func(now time.Time) *ctview.Report,
) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := u.Clock.Now()
	report := build(sentAt)
	answer, err := link.call(ctx, &ctframe.Report{Report: *report})
	if err != nil {
		return err
	}
	if retry, ok := answer.(*ctframe.Retry); ok {
		return u.applyRetry(link, held, retry)
	}
	if u.Groups != nil && !report.Lapsed && !u.Clock.Now().Before(u.State.AuthorityExpiry(held)) {
		link.close()
		return cterror.New(cterror.Expired, "the authority has lapsed since the report", "report again")
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok || reply.Number != report.Number {
		link.close()
		return cterror.New(cterror.Unavailable, "control sent an unexpected answer",
			"check that all processes have one version")
	}
	if err := link.redirect(&reply.Reply); err != nil {
		return err
	}
	link.seeker.RecordAnswer()
	u.updateControls(held, reply.Controls)
	if err := u.applyReplyDelta(held, reply); err != nil {
		return err
	}
	u.applyGroups(held, reply.Groups)
	u.State.SetConfigOutdated(held, reply.ConfigOutdated && u.State.View(held).Config.Revision == report.Revision)
	if reply.AuthorityTTL > 0 {
		u.State.ExtendAuthority(held, sentAt.Add(ctdrift.LowerBound(time.Duration(reply.AuthorityTTL))))
	}
	u.renewCaps(held, sentAt, report, &reply.Reply)
	for _, s := range reply.LogSamples {
		u.Groups.AddSample(held, s.Group, sentAt.Add(-ctdrift.UpperBound(s.Age)), s.Point)
	}
	for _, l := range reply.Leases {
		u.State.RecordLease(held, l.Group, l.Term, sentAt.Add(ctdrift.LowerBound(time.Duration(l.TTL))))
	}
	return nil
}

// applyRetry retains the control processes that an answer names and returns the error of the
// deferred report. A process that has not joined the others is left.
func (u *Uplink) applyRetry(link *controlLink, held *ctlock.Held, retry *ctframe.Retry) error {
	u.addControls(held, retry.Controls)
	if !retry.Unjoined {
		return newDeferredError(retry)
	}
	link.close()
	return cterror.New(
		cterror.Unavailable, "the control process has not joined the others", "use another control process")
}

// renewCaps passes the caps in a reply on.
func (u *Uplink) renewCaps(held *ctlock.Held, sentAt time.Time, report *ctview.Report, reply *ctview.Reply) {
	if u.Quotas == nil || reply.Quotas == nil {
		return
	}
	expiresAt := sentAt.Add(ctdrift.LowerBound(time.Duration(reply.Quotas.TTL)))
	u.Quotas.RenewCaps(held, report.Quotas, reply.Quotas, expiresAt)
}

// buildReport returns a report of the proxy's state at the time now. It removes
// announcements that have expired.
func (u *Uplink) buildReport(held *ctlock.Held, now time.Time, number uint64) *ctview.Report {
	view := u.State.View(held)
	self := u.Self
	self.State = u.state.Get(held)
	report := &ctview.Report{
		Number:   number,
		Proxy:    self,
		Version:  view.Version,
		Revision: view.Config.Revision,
	}
	if u.Members != nil {
		report.HeldMembers = u.Members.HeldMembers(held)
	}
	if u.Groups != nil {
		status := u.Groups.GroupStatus(held)
		report.Reachable, report.Unreachable, report.Fences = status.Reachable, status.Unreachable, status.Fences
		report.Lapsed = u.State.AuthorityExpiry(held).Before(now.Add(callTimeout))
	}
	if u.Quotas != nil {
		report.Quotas = u.Quotas.QuotaDemands(held, now)
	}
	oldest := now.Add(-announcementTTL)
	u.announcements.With(held, func(entries map[ctid.Member]*announcementEntry) {
		for name, entry := range entries {
			if entry.receivedAt.Before(oldest) {
				delete(entries, name)
				continue
			}
			report.Announcements = append(report.Announcements, entry.announcement)
		}
	})
	return report
}
