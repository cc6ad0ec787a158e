package ctheldlink

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

const (
	// stepTimeout bounds each step of a scenario.
	stepTimeout = time.Minute
	// primaryTimeout bounds each wait for a primary that no held request may delay. It is well
	// below the lifetime of a request.
	primaryTimeout = 25 * time.Second
	// holdDuration is how long a request is held, unless heldCommits commits are acknowledged
	// at the second candidate before.
	holdDuration = 10 * time.Second
	heldCommits  = 50
	// secondRequestTimeout is how long a leader has to choose another candidate.
	secondRequestTimeout = 5 * time.Second
	// restartDelay is the time from the kill of the sender to its start.
	restartDelay = time.Second
	// servedCommits is how many further commits must be acknowledged at the end.
	servedCommits = 20
	// slowReceipt is how much later entries arrive at a slow candidate.
	slowReceipt = 250 * time.Millisecond
)

// Sender says what becomes of the leader whose promotion request is held.
type Sender interface {
	isSender()
}

// CutOff means that the leader is cut off from the other control processes once it has chosen
// another candidate, and another one leads. Both requests are released before the cut ends.
type CutOff struct{}

// Reconnected is CutOff where the requests are released when the cut has ended.
type Reconnected struct{}

// Staying means that the leader goes on leading and chooses another candidate.
type Staying struct{}

// Killed means that the leader is killed once it has chosen another candidate, and another
// one leads. It is started again only after the release.
type Killed struct{}

// Restarted means that the leader is killed once it has chosen another candidate, and starts
// again after restartDelay. Its new connections to the service work.
type Restarted struct{}

// Deposed means that the leader is cut off once it has chosen another candidate, until another
// one leads, and then follows that. Its new connections to the service work.
type Deposed struct{}

func (CutOff) isSender()      {}
func (Reconnected) isSender() {}
func (Staying) isSender()     {}
func (Killed) isSender()      {}
func (Restarted) isSender()   {}
func (Deposed) isSender()     {}

// Candidate says how the first candidate receives the log of the next primary until the held
// request takes effect.
type Candidate interface {
	isCandidate()
}

// Severed means that it receives nothing.
type Severed struct{}

// Slow means that it receives entries late.
type Slow struct{}

func (Severed) isCandidate() {}
func (Slow) isCandidate()    {}

// Result holds the outcome of a scenario.
type Result struct {
	// Sender is the leader whose requests are held, and Next the one that leads at the release.
	Sender, Next Host
	// First and Second are the candidates in the order of their requests. Second is empty
	// if the group had no other primary before the release.
	First, Second ctid.Member
	// SecondAfter is the time from the loss of the primary to the promotion of Second.
	SecondAfter time.Duration
	// Acknowledged is how many commits were acknowledged at Second before the release.
	Acknowledged int
	// HeldFor is how long the first request was held.
	HeldFor time.Duration
	// EffectAfter and ServedAfter are the times from the release to the promotion of First,
	// and to the next acknowledged commit after that.
	EffectAfter, ServedAfter time.Duration
	// LongestGap is the longest time between two acknowledged commits until then.
	LongestGap time.Duration
	// NextAfter is the time from a second loss of the primary, after all holds have ended, until
	// callers are served again.
	NextAfter time.Duration
}

// lateRequest is the state of a scenario.
type lateRequest struct {
	*Fleet
	// leader is the sender, and request holds its link to the service.
	leader  *process
	request *Hold
	// primary is the member that is lost, and term its term.
	primary *Member
	term    ctposition.Term
	// first is the candidate of the held request.
	first *Member
	// links are the sender's to the other control processes, and cuts those of the first
	// candidate.
	links, cuts    Holds
	lostAt, heldAt time.Time
	// ended is set once the sender's process has ended.
	ended  bool
	result Result
}

// LateRequest loses the primary while the leader's link to the service is held. The first
// candidate returns no status until another one is promoted, or until the release. Where
// another one can be promoted before, commits are acknowledged there if the fleet does so.
// Then the held request is released.
func (f *Fleet) LateRequest(ctx context.Context, sender Sender, candidate Candidate) (Result, error) {
	s := &lateRequest{Fleet: f, leader: f.leader()}
	return s.run(ctx, sender, candidate, s.release)
}

// LossAfterLateRequest is LateRequest, after which the primary is lost again and stays away
// until another one serves callers.
func (f *Fleet) LossAfterLateRequest(ctx context.Context, sender Sender, candidate Candidate) (Result, error) {
	s := &lateRequest{Fleet: f, leader: f.leader()}
	return s.run(ctx, sender, candidate, s.release, s.loseAgain)
}

// run holds and disturbs a request, and goes on with other steps.
func (s *lateRequest) run(
	ctx context.Context, sender Sender, candidate Candidate, steps ...func(context.Context) error,
) (Result, error) {
	err := s.holdRequest(ctx, candidate)
	if err == nil {
		err = s.disturb(ctx, sender)
	}
	for i := 0; err == nil && i < len(steps); i++ {
		err = steps[i](ctx)
	}
	if err == nil {
		s.checkEnd(ctx)
	}
	return s.result, err
}

// holdRequest loses the primary, holds the request for the first candidate and makes that
// one unresponsive.
func (s *lateRequest) holdRequest(ctx context.Context, candidate Candidate) error {
	s.request = s.Network.Hold(s.leader.host, ServiceHost)
	s.primary, s.term = s.Group.Latest()
	s.lostAt = time.Now()
	s.CrashMember(s.primary)
	name, err := s.awaitRequest(ctx, s.request, "", stepTimeout)
	if err != nil {
		return err
	}
	s.heldAt, s.first = time.Now(), s.Group.Member(name)
	s.result.Sender, s.result.First = s.leader.host, name
	s.note("request_held", string(s.leader.host), string(name))
	s.Group.SetBusy(s.first, true)
	s.cuts = s.slowDown(candidate, s.first)
	return nil
}

// disturb disturbs the sender until the held request is due.
func (s *lateRequest) disturb(ctx context.Context, sender Sender) error {
	switch sender.(type) {
	case Staying:
		s.request.Detach()
		return s.awaitSecond(ctx)
	case CutOff:
		s.awaitSecondRequest(ctx)
		return s.depose(ctx, s.heldAt.Add(holdDuration))
	case Reconnected:
		s.awaitSecondRequest(ctx)
		err := s.depose(ctx, s.heldAt.Add(holdDuration))
		s.links.Release()
		return err
	case Deposed:
		s.awaitSecondRequest(ctx)
		if err := s.depose(ctx, time.Time{}); err != nil {
			return err
		}
		s.links.Release()
		s.request.Detach()
		return s.awaitSecond(ctx)
	case Killed:
		s.awaitSecondRequest(ctx)
		s.killSender()
		return s.awaitLeader(ctx, s.heldAt.Add(holdDuration))
	case Restarted:
		s.awaitSecondRequest(ctx)
		s.request.Detach()
		s.killSender()
		time.Sleep(restartDelay)
		if err := s.restart(s.leader); err != nil {
			return err
		}
		return s.awaitSecond(ctx)
	}
	return nil
}

// killSender kills the sender.
func (s *lateRequest) killSender() {
	s.kill(s.leader)
	s.ended = true
}

// depose cuts the sender off until another process leads, and until a time.
func (s *lateRequest) depose(ctx context.Context, until time.Time) error {
	s.links = s.Network.HoldBoth(s.leader.host, s.otherControls(s.leader)...)
	return s.awaitLeader(ctx, until)
}

// awaitLeader waits until another process than the sender leads, and until a time.
func (s *lateRequest) awaitLeader(ctx context.Context, until time.Time) error {
	err := await(ctx, stepTimeout, "another control process leads", func() bool { return s.Fleet.leader() != s.leader })
	time.Sleep(time.Until(until))
	return err
}

// awaitSecondRequest waits a while until the sender has chosen another candidate. Its request
// for that one may be held too, or may not be sent.
func (s *lateRequest) awaitSecondRequest(ctx context.Context) {
	if name, err := s.awaitRequest(ctx, s.request, s.first.Name, secondRequestTimeout); err == nil {
		s.note("second_request_held", string(s.leader.host), string(name))
	}
}

// awaitSecond waits until the other replica is promoted, and until commits are acknowledged
// there or the request was held for long enough. The lost primary starts again meanwhile.
func (s *lateRequest) awaitSecond(ctx context.Context) error {
	err := await(ctx, primaryTimeout, "the other replica is promoted", func() bool { return s.Group.Term() > s.term })
	if err != nil {
		return err
	}
	latest, _ := s.Group.Latest()
	s.result.Second, s.result.SecondAfter = latest.Name, time.Since(s.lostAt)
	s.note("second_promoted", string(s.leader.host), string(latest.Name))
	s.Group.SetBusy(s.first, false)
	if err := s.RestartMember(s.primary); err != nil {
		return err
	}
	s.result.Acknowledged = s.awaitAcknowledged(ctx, s.heldAt.Add(holdDuration))
	return nil
}

// slowDown delays what a candidate receives, and returns the holds for it.
func (f *Fleet) slowDown(candidate Candidate, first *Member) Holds {
	var holds Holds
	switch candidate.(type) {
	case Severed:
		for _, m := range f.Group.Members {
			if m != first {
				holds = append(holds, f.Network.HoldBoth(first.Host, m.Host)...)
			}
		}
	case Slow:
		f.Group.SetReceiveDelay(first, slowReceipt)
	}
	return holds
}

// release releases a held request, waits for its effect, ends the cuts and waits until
// callers are served again.
func (s *lateRequest) release(ctx context.Context) error {
	s.result.Next, s.result.HeldFor = s.Fleet.leader().host, time.Since(s.heldAt)
	s.note("request_released", string(s.leader.host), string(s.first.Name))
	before, releasedAt := s.Group.Term(), time.Now()
	s.request.Release()
	err := await(ctx, stepTimeout, "the held request takes effect", func() bool {
		return s.Group.PromotedSince(s.first, before)
	})
	if err != nil {
		return err
	}
	s.result.EffectAfter = time.Since(releasedAt)
	s.cuts.Release()
	s.links.Release()
	s.Group.SetReceiveDelay(s.first, 0)
	s.Group.SetBusy(s.first, false)
	if err := s.awaitServed(ctx, s.Group.Term(), primaryTimeout); err != nil {
		return err
	}
	s.result.ServedAfter = time.Since(releasedAt)
	s.result.LongestGap = s.Judge.LongestGap()
	return nil
}

// awaitServed waits until commits of a term and later ones are acknowledged again and again.
func (s *lateRequest) awaitServed(ctx context.Context, term ctposition.Term, timeout time.Duration) error {
	return await(ctx, timeout, "callers are served", func() bool {
		return s.Judge.AcknowledgedSince(term) >= servedCommits
	})
}

// loseAgain starts what was stopped, loses the primary once more and waits until callers are
// served at the next one. If the sender's process has ended, nobody knows the ends of its
// requests: commits may have to wait for their lifetime.
func (s *lateRequest) loseAgain(ctx context.Context) error {
	timeout := primaryTimeout
	if s.ended {
		timeout += ctsuccession.RequestLifetime
	}
	if err := s.restart(s.leader); err != nil {
		return err
	}
	if s.result.Second == "" {
		if err := s.RestartMember(s.primary); err != nil {
			return err
		}
	}
	time.Sleep(ctholderjudge.StableWindow)
	primary, term := s.Group.Latest()
	lostAt := time.Now()
	s.CrashMember(primary)
	if err := s.awaitServed(ctx, term+1, timeout); err != nil {
		return err
	}
	s.result.NextAfter = time.Since(lostAt)
	return s.RestartMember(primary)
}

// awaitRequest waits until the bytes of a hold have a request for another member than one,
// and returns its name.
func (f *Fleet) awaitRequest(
	ctx context.Context, request *Hold, one ctid.Member, timeout time.Duration,
) (ctid.Member, error) {
	var requested ctid.Member
	err := await(ctx, timeout, "a promotion is requested", func() bool {
		for _, m := range f.Group.Members {
			if m.Name != one && request.Contains(`"`+string(m.Name)+`"`) {
				requested = m.Name
			}
		}
		return requested != ""
	})
	return requested, err
}

// awaitAcknowledged waits until heldCommits commits of the present term were acknowledged, or
// until a deadline. It returns how many were.
func (f *Fleet) awaitAcknowledged(ctx context.Context, deadline time.Time) int {
	term := f.Group.Term()
	_ = await(ctx, time.Until(deadline), "commits are acknowledged", func() bool {
		return f.Judge.AcknowledgedSince(term) >= heldCommits
	})
	return f.Judge.AcknowledgedSince(term)
}

// checkEnd checks what remains at the end: the last log, the configuration and the processes.
func (f *Fleet) checkEnd(ctx context.Context) {
	f.checkConfig(ctx)
	for _, p := range f.processes() {
		f.checkRunning(p)
	}
	f.Group.mutex.Lock()
	defer f.Group.mutex.Unlock()
	f.Judge.checkLog(f.Group.latest.log)
}

// checkConfig checks that control returns the acknowledged configuration.
func (f *Fleet) checkConfig(ctx context.Context) {
	var client platform.ExternalClient
	err := await(ctx, stepTimeout, "control returns the configuration", func() bool {
		found := false
		for _, c := range f.controls {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			current, _, err := client.CurrentConfig(callCtx, c.settings.OperatorAddress)
			cancel()
			if err == nil && current != 0 {
				f.Judge.check(current == release, RuleConfig, "%s returns release %d", c.host, current)
				found = true
			}
		}
		return found
	})
	f.Judge.check(err == nil, RuleConfig, "%v", err)
}

// CrashMember stops a member and refuses connections to it. It returns false if the member
// does not run.
func (f *Fleet) CrashMember(m *Member) bool {
	if !m.crash() {
		return false
	}
	f.note("member_crashed", string(m.Host), "")
	f.relayOf(m).Close()
	return true
}

// RestartMember starts a crashed member.
func (f *Fleet) RestartMember(m *Member) error {
	f.note("member_restarted", string(m.Host), "")
	m.restart()
	return f.relayOf(m).Open()
}

func (f *Fleet) relayOf(m *Member) *Relay {
	for i, o := range f.Group.Members {
		if o == m {
			return f.memberRelays[i]
		}
	}
	return nil
}

// note logs a step of a scenario.
func (f *Fleet) note(step, host, member string) {
	f.Logger.Info().Str("event", step).Str("host", host).Str("member", member).Send()
}

// otherControls returns the hosts of the control processes but one.
func (f *Fleet) otherControls(one *process) []Host {
	var hosts []Host
	for _, c := range f.controls {
		if c != one {
			hosts = append(hosts, c.host)
		}
	}
	return hosts
}

// leader returns the control process that became the leader last, by the logs.
func (f *Fleet) leader() *process {
	var leader *process
	newest := uint64(0)
	for _, c := range f.controls {
		if epoch := lastEpoch(c.LogFile); epoch >= newest {
			leader, newest = c, epoch
		}
	}
	return leader
}

// lastEpoch returns the epoch in which a process last became the leader, by its log.
func lastEpoch(logFile string) uint64 {
	file, err := os.Open(logFile)
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	var epoch uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Decision string `json:"decision"`
			Epoch    uint64 `json:"epoch"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Decision == "lead_control" {
			epoch = line.Epoch
		}
	}
	return epoch
}
