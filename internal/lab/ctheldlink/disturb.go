package ctheldlink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minFault and maxFault bound the duration of a random fault.
	minFault = 500 * time.Millisecond
	maxFault = 10 * time.Second
	// faultInterval is the longest pause between the starts of two random faults.
	faultInterval = 2500 * time.Millisecond
	// senderDelay is the longest time from a request to the disturbance of its sender, which
	// lasts for senderLoss more than other faults, and requestTimeout bounds the wait for the
	// request.
	senderDelay    = 2 * time.Second
	senderLoss     = 5 * time.Second
	requestTimeout = 5 * time.Second
	// recoveryTimeout bounds the wait for callers to be served after the last fault.
	recoveryTimeout = 2 * time.Minute
)

// Fault is a fault that lasts for a time.
type Fault interface {
	isFault()
}

// HoldLink holds both directions between two hosts.
type HoldLink struct {
	A, B Host
}

// HoldRequests holds what a control process sends to the service. After half of the time, new
// bytes pass before those.
type HoldRequests struct {
	Control Host
}

// KillLeader kills the present leader of control and starts it again.
type KillLeader struct{}

// RestartLeader kills the present leader of control and starts it again after restartDelay.
type RestartLeader struct{}

// FreezeLeader suspends the present leader of control.
type FreezeLeader struct{}

// CutOffLeader holds the links between the present leader and the other control processes.
type CutOffLeader struct{}

// LoseSender stops the primary while the requests of the present leader are held, and disturbs
// the leader too, some time after one is held.
type LoseSender struct {
	By    Fault
	After time.Duration
}

// DarkenMember holds the links between a member and all control processes.
type DarkenMember struct {
	Member int
}

// CrashPrimary stops the member that was promoted last, and starts it again with its log.
type CrashPrimary struct{}

func (CutOffLeader) isFault()  {}
func (LoseSender) isFault()    {}
func (HoldLink) isFault()      {}
func (HoldRequests) isFault()  {}
func (KillLeader) isFault()    {}
func (RestartLeader) isFault() {}
func (FreezeLeader) isFault()  {}
func (DarkenMember) isFault()  {}
func (CrashPrimary) isFault()  {}

// randomFault returns a fault. Most of them lose the primary or concern the service.
func randomFault(random *rand.Rand) Fault {
	control := Host(fmt.Sprintf("control-%d", random.IntN(controlCount)))
	member := Host(fmt.Sprintf("member-%d", random.IntN(memberCount)))
	proxy := Host(fmt.Sprintf("proxy-%d", random.IntN(proxyCount)))
	byLeader := []Fault{KillLeader{}, RestartLeader{}, FreezeLeader{}, CutOffLeader{}}
	switch random.IntN(19) {
	case 16, 17, 18:
		return LoseSender{By: byLeader[random.IntN(len(byLeader))], After: randomDuration(random, senderDelay)}
	case 0, 1, 2, 3:
		return CrashPrimary{}
	case 4, 5:
		return HoldLink{control, ServiceHost}
	case 6, 7:
		return HoldRequests{Control: control}
	case 8, 9:
		return HoldLink{control, Host(fmt.Sprintf("control-%d", random.IntN(controlCount)))}
	case 10:
		return HoldLink{member, Host(fmt.Sprintf("member-%d", random.IntN(memberCount)))}
	case 11:
		return HoldLink{proxy, member}
	case 12:
		return KillLeader{}
	case 13:
		return RestartLeader{}
	case 14:
		return FreezeLeader{}
	default:
		return DarkenMember{Member: random.IntN(memberCount)}
	}
}

// randomDuration returns a duration below a bound.
func randomDuration(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// Disturb injects faults that a seed decides, for a time. It then waits until they have ended
// and callers are served again.
func (f *Fleet) Disturb(ctx context.Context, seed uint64, duration time.Duration) error {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault := randomFault(random)
		lasts := minFault + randomDuration(random, maxFault-minFault)
		faults.Go(func() { f.inject(fault, lasts) })
		time.Sleep(randomDuration(random, faultInterval))
	}
	faults.Wait()
	return f.finish(ctx)
}

// Serve serves callers for a time without a fault, and checks what remains.
func (f *Fleet) Serve(ctx context.Context, duration time.Duration) error {
	time.Sleep(duration)
	return f.finish(ctx)
}

// finish waits until callers are served, and checks what remains.
func (f *Fleet) finish(ctx context.Context) error {
	before := f.Judge.Acknowledged()
	err := await(ctx, recoveryTimeout, "callers are served", func() bool {
		return f.Judge.Acknowledged() >= before+servedCommits
	})
	f.checkEnd(ctx)
	return err
}

// inject injects a fault and ends it after a time.
func (f *Fleet) inject(fault Fault, lasts time.Duration) {
	f.Logger.Info().Str("event", "fault").Str("fault", fmt.Sprintf("%T%+v", fault, fault)).Dur("lasts", lasts).Send()
	switch fault := fault.(type) {
	case HoldLink:
		f.holdFor(lasts, fault.A, fault.B)
	case DarkenMember:
		f.holdFor(lasts, f.Group.Members[fault.Member].Host, f.otherControls(nil)...)
	case HoldRequests:
		hold := f.Network.Hold(fault.Control, ServiceHost)
		time.Sleep(lasts / 2)
		hold.Detach()
		time.Sleep(lasts / 2)
		hold.Release()
	case KillLeader:
		f.killFor(lasts, f.leader())
	case RestartLeader:
		f.killFor(restartDelay, f.leader())
	case FreezeLeader:
		leader := f.leader()
		f.Network.BeginDisturbance(leader.host)
		leader.Pause()
		time.Sleep(lasts)
		leader.Resume()
		f.Network.EndDisturbance(leader.host)
	case CutOffLeader:
		leader := f.leader()
		f.holdFor(lasts, leader.host, f.otherControls(leader)...)
	case LoseSender:
		f.loseSender(fault, lasts+senderLoss)
	case CrashPrimary:
		primary, _ := f.Group.Latest()
		if f.CrashMember(primary) {
			time.Sleep(lasts)
			f.logError(f.RestartMember(primary))
		}
	}
}

// loseSender holds the requests of the present leader while the primary and then the leader are
// disturbed. After half of the time, new requests pass before those.
func (f *Fleet) loseSender(fault LoseSender, lasts time.Duration) {
	hold := f.Network.Hold(f.leader().host, ServiceHost)
	var losses sync.WaitGroup
	losses.Go(func() { f.inject(CrashPrimary{}, lasts) })
	_ = await(context.Background(), requestTimeout, "a request is held", func() bool { return hold.Contains(`"`) })
	time.Sleep(fault.After)
	losses.Go(func() { f.inject(fault.By, lasts) })
	time.Sleep(lasts / 2)
	hold.Detach()
	losses.Wait()
	hold.Release()
}

// killFor kills a process and starts it again after a time.
func (f *Fleet) killFor(lasts time.Duration, p *process) {
	f.kill(p)
	time.Sleep(lasts)
	f.logError(f.restart(p))
}

// kill kills a process that runs.
func (f *Fleet) kill(p *process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.killed {
		p.killed = true
		f.Network.BeginDisturbance(p.host)
		p.Kill()
	}
}

// restart starts a process that was killed. It does nothing if that has been done.
func (f *Fleet) restart(p *process) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.killed {
		return nil
	}
	p.killed = false
	defer f.Network.EndDisturbance(p.host)
	return f.startProcess(p)
}

// checkRunning checks that a process runs, unless a fault has killed it.
func (f *Fleet) checkRunning(p *process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f.Judge.check(p.killed || p.Running(), RuleRunning, "%s has ended by itself", p.host)
}

// holdFor holds the links between a host and others for a time.
func (f *Fleet) holdFor(lasts time.Duration, host Host, others ...Host) {
	holds := f.Network.HoldBoth(host, others...)
	time.Sleep(lasts)
	holds.Release()
}

// logError logs an error of a fault.
func (f *Fleet) logError(err error) {
	if err != nil {
		f.Logger.Error().Str("event", "fault_failed").Str("error", err.Error()).Send()
	}
}
