package ctheldlink

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

const (
	// stepTimeout bounds each step of a scenario.
	stepTimeout = time.Minute
	// holdDuration is how long a request is held, unless heldCommits commits are acknowledged
	// at the second candidate before.
	holdDuration = 10 * time.Second
	heldCommits  = 50
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
// another candidate, and another one leads.
type CutOff struct{}

// Staying means that the leader goes on leading and chooses another candidate.
type Staying struct{}

// Killed means that the leader is killed once it has chosen another candidate, and another
// one leads.
type Killed struct{}

func (CutOff) isSender()  {}
func (Staying) isSender() {}
func (Killed) isSender()  {}

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
	// First and Second are the candidates in the order of their requests.
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
	// LongestGap is the longest time between two acknowledged commits.
	LongestGap time.Duration
}

// LateRequest loses the primary while the leader's link to the service is held. The first
// candidate returns no status until another one is promoted. Commits are acknowledged there
// if the fleet does so. Then the held request is released.
func (f *Fleet) LateRequest(ctx context.Context, sender Sender, candidate Candidate) (Result, error) {
	var r Result
	leader := f.leader()
	request := f.Network.Hold(leader.host, ServiceHost)
	primary, firstTerm := f.Group.Latest()
	lostAt := time.Now()
	f.CrashMember(primary)
	var err error
	if r.First, err = f.awaitRequest(ctx, request, ""); err != nil {
		return r, err
	}
	heldAt, first := time.Now(), f.Group.Member(r.First)
	f.note("request_held", string(leader.host), string(r.First))
	f.Group.SetBusy(first, true)
	cuts := f.slowDown(candidate, first)
	senderCuts, err := f.disturbSender(ctx, sender, leader, request, r.First)
	if err != nil {
		return r, err
	}
	cuts = append(cuts, senderCuts...)
	err = await(ctx, stepTimeout, "the other replica is promoted", func() bool {
		latest, term := f.Group.Latest()
		r.Second = latest.Name
		return term > firstTerm
	})
	if err != nil {
		return r, err
	}
	r.SecondAfter = time.Since(lostAt)
	f.note("second_promoted", string(leader.host), string(r.Second))
	f.Group.SetBusy(first, false)
	if err := f.RestartMember(primary); err != nil {
		return r, err
	}
	r.Acknowledged = f.awaitAcknowledged(ctx, heldAt.Add(holdDuration))
	r.HeldFor = time.Since(heldAt)
	f.note("request_released", string(leader.host), string(r.First))
	return r, f.release(ctx, &r, request, cuts)
}

// disturbSender disturbs the sender of a held request for a member and returns the holds that
// end with the request's. A sender that does not stay has made another member the candidate
// before, and its request for that one is held too.
func (f *Fleet) disturbSender(
	ctx context.Context, sender Sender, leader *process, request *Hold, first ctid.Member,
) (Holds, error) {
	if _, ok := sender.(Staying); ok {
		request.Detach()
		return nil, nil
	}
	second, err := f.awaitRequest(ctx, request, first)
	if err != nil {
		return nil, err
	}
	f.note("second_request_held", string(leader.host), string(second))
	if _, ok := sender.(Killed); ok {
		f.kill(leader)
		return nil, nil
	}
	return f.Network.HoldBoth(leader.host, f.otherControls(leader)...), nil
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
func (f *Fleet) release(ctx context.Context, r *Result, request *Hold, cuts Holds) error {
	_, before := f.Group.Latest()
	releasedAt := time.Now()
	request.Release()
	err := await(ctx, stepTimeout, "the held request takes effect", func() bool {
		latest, term := f.Group.Latest()
		return term > before && latest.Name == r.First
	})
	if err != nil {
		return err
	}
	r.EffectAfter = time.Since(releasedAt)
	cuts.Release()
	f.Group.SetReceiveDelay(f.Group.Member(r.First), 0)
	effective := f.Group.Term()
	err = await(ctx, stepTimeout, "callers are served again", func() bool {
		return f.Judge.AcknowledgedSince(effective) > 0
	})
	if err != nil {
		return err
	}
	r.ServedAfter = time.Since(releasedAt)
	err = await(ctx, stepTimeout, "callers are served further", func() bool {
		return f.Judge.AcknowledgedSince(effective) >= servedCommits
	})
	f.checkEnd(ctx)
	r.LongestGap = f.Judge.LongestGap()
	return err
}

// awaitRequest waits until the bytes of a hold have a request for another member than one,
// and returns its name.
func (f *Fleet) awaitRequest(ctx context.Context, request *Hold, one ctid.Member) (ctid.Member, error) {
	var requested ctid.Member
	err := await(ctx, stepTimeout, "a promotion is requested", func() bool {
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
