/*
Package ctsuccession is the failover state machine for groups whose members an
external service promotes and whose proxies connect to all members directly. It
detects that a primary is lost or leaving, fences its term, and chooses a
replica that has every acknowledged commit. It runs on the leader of control.

# Authority

A proxy may act on its view of the groups only with authority from control. The
authority is a lease on the view: each report renews it for AuthorityTTL, and a
proxy whose authority has expired acknowledges no commits.

# Steps of a change

 1. The primary is lost or announces that it is leaving. Control makes a fence
    durable: a term above that of the primary. All lower terms are to end.
 2. Every proxy confirms that it has applied the fence, or its authority expires.
    From then on no commit of the primary is acknowledged.
 3. The primary is commanded to step down, and the replicas are paused: they
    receive nothing of its term any more. Their answers show which of them has
    every acknowledged commit.
 4. Control makes the candidate durable and requests its promotion, until a
    member reports that it is the primary of a later term.

A member is promoted only if no acknowledged commit can be missing in its log.
One of these conditions must hold:

  - It has all that the primary had when it stepped down.
  - It is known what all proxies acknowledged, and the member has all of it.
  - All members but the primary are paused, and none of them has received more.

A proxy whose process has ended can't report any more what it acknowledged. The
same holds for one whose authority expired and that does not report again. The
next point that the primary reports after such an event includes all these
commits. Until the primary has reported it, the proxies' reports are not
sufficient for a promotion. After that, a candidate must have received that point
besides all that the proxies reported.

# Lost logs

A member that starts again without its log, is deregistered or is replaced may have had the only
log of a replica with an acknowledged commit. That no member has received more is then no proof.
The loss is recorded for the group's term, durably, so that later leaders know it too, until the
primary of that term has reported its log in answer to a later command. A candidate must have
received that point. Until then, the change waits for the primary; Waits says for whom and why.

# Promotion requests

The service compares no epochs. So only one control process at a time sends requests for a
group, its requester, and all of them carry the epoch in which it became that. A leader makes
itself the requester of a group that has none. Otherwise its requests are sent by the
requester that it found, until that one is released; see package ctpromotion.

The service may accept a request late, and a promotion takes time. Control sends
one request at a time. If a second one may have been accepted, control accepts no
member as the primary until that request can't take effect any more.

A promotion is among the group's unsettled ones before its first request is sent, so that
later leaders know it. It is settled once no request for it can take effect any more and a
status of its member shows that none has. While it is not, proxies acknowledge only commits
that this member holds; see package ctpromotion.

# Usage

	proxies := ctsuccession.NewProxyTracker(now)
	machine.Begin(now, proxies)
	machine.ApplyGroup(group)
	proxies.ApplyReport(now, report, ctsuccession.AuthorityExpiry(now))
	machine.ApplyReport(now, group, report)
	machine.ApplyAnnouncement(now, announcement)
	proxies.Tick(now)
	for _, action := range machine.Decide(now, group) {
		...
	}
*/
package ctsuccession
