package ctsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the size of a fleet.
type Shape struct {
	// Domains is the number of failure domains, with as many control processes and
	// members of each group.
	Domains int `json:"domains"`
	// Proxies is the number of proxies in each failure domain.
	Proxies int `json:"proxies"`
	// Groups is the number of database groups.
	Groups int `json:"groups"`
	// Slots is how many statements each member runs at once, and Connections is how
	// many connections it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Callers is the number of concurrent callers.
	Callers int `json:"callers"`
}

// Kind is the kind of process that runs on a host.
type Kind string

// The kinds of hosts.
const (
	KindProxy   Kind = "proxy"
	KindControl Kind = "control"
	KindMember  Kind = "member"
)

// Host identifies a host by its kind and its number among the hosts of that kind.
type Host struct {
	Kind   Kind `json:"kind"`
	Number int  `json:"number"`
}

// String returns the host's name, such as "proxy-0".
func (h Host) String() string {
	return fmt.Sprintf("%s-%d", h.Kind, h.Number)
}

// Fault is a fault or a planned operation that is injected into the fleet. The log shows
// the names of its types and fields.
type Fault interface {
	isFault()
}

// Kill kills processes at the same moment and starts them again after Down.
type Kill struct {
	Hosts []Host
	Down  time.Duration
}

// Stop asks a process to stop, kills it if it has not done so after the stop timeout, and
// starts it again after Down.
type Stop struct {
	Host Host
	Down time.Duration
}

// Freeze suspends a process for a while.
type Freeze struct {
	Host Host
	For  time.Duration
}

// Wipe kills a control process, removes its data folder and starts it again after Down.
type Wipe struct {
	Host Host
	Down time.Duration
}

// Tear kills a control process, appends the first bytes of a record to its data files, as
// an interrupted write does, and starts it again after Down.
type Tear struct {
	Host Host
	Down time.Duration
}

// Cut stops the traffic that a host receives, the traffic that it sends, or both.
type Cut struct {
	Host     Host
	Receives bool
	Sends    bool
	For      time.Duration
}

// Hold delays the handling of all promotion requests of a control process to its end, also if
// the process has ended or lost its lead by then.
type Hold struct {
	Host Host
	For  time.Duration
}

// Overtake stops a group's primary without notice, holds the first promotion request that the
// service receives then, and cuts its sender off. So another control process leads, and may
// request a promotion, before the held request is handled at the end.
type Overtake struct {
	Group int
	For   time.Duration
}

// Delay delays all traffic of a host by the same time in both directions.
type Delay struct {
	Host Host
	By   time.Duration
	For  time.Duration
}

// Reset resets a host's open connections.
type Reset struct {
	Host Host
}

// Silence stops all traffic on a host's open connections without closing them. New
// connections work.
type Silence struct {
	Host Host
}

// Hangup rewrites a process's settings file and makes the process read it again.
type Hangup struct {
	Host Host
}

// Crash stops a member without notice and starts it again with its log after Down.
type Crash struct {
	Host Host
	Down time.Duration
}

// Retire replaces a member in a planned way by one with another name and the same log.
type Retire struct {
	Host Host
}

// Hamper makes a member slow, delays or stops its replication, drops some of its answers,
// or makes some of its statements fail.
type Hamper struct {
	Host Host
	// Work is how long a statement takes, and Lag is the time from the receipt of a log
	// entry to its application. The defaults apply if they are 0.
	Work time.Duration
	Lag  time.Duration
	// Apart stops log replication between the member and the others.
	Apart bool
	// Lose is how many answers are dropped. Failing is how many statements in ten run but
	// report a failure; it applies to reads and to writes in transactions.
	Lose    int
	Failing int
	For     time.Duration
}

func (Kill) isFault()     {}
func (Stop) isFault()     {}
func (Freeze) isFault()   {}
func (Wipe) isFault()     {}
func (Tear) isFault()     {}
func (Cut) isFault()      {}
func (Hold) isFault()     {}
func (Overtake) isFault() {}
func (Delay) isFault()    {}
func (Reset) isFault()    {}
func (Silence) isFault()  {}
func (Hangup) isFault()   {}
func (Crash) isFault()    {}
func (Retire) isFault()   {}
func (Hamper) isFault()   {}

// ScheduledFault is a fault and the time from the start of the traffic to its injection.
type ScheduledFault struct {
	After time.Duration
	Fault Fault
}

// Plan is the course of a run as its seed decides it.
type Plan struct {
	Seed  uint64
	Shape Shape
	// Schedule is in the order of the times.
	Schedule []ScheduledFault
	// FaultDuration is the period at the start of the run in which faults begin.
	FaultDuration time.Duration
	// StutterShare is how many answers of members there are for each one that is sent twice.
	// 0 means that none is.
	StutterShare int
}

// Frequency and duration of faults.
const (
	// meanFaultInterval is the mean time between two faults other than those of promotion
	// requests, and meanHoldInterval is that between two of these.
	meanFaultInterval = 1200 * time.Millisecond
	meanHoldInterval  = 3 * time.Second
	// holdsPerOvertake is the share of the faults of promotion requests that are overtakes:
	// one in so many.
	holdsPerOvertake = 4
	// diskRecoveryGrace is how long a wiped control process counts as without its disk
	// after it has started again: until it has caught up. Only one disk may be lost at a
	// time. So no other disk is wiped meanwhile, and of the other faults of control
	// processes only Tear is drawn.
	diskRecoveryGrace = 9 * time.Second
	// stutterShare is the StutterShare of plans that seeds decide.
	stutterShare = 200
	// maxFaultDuration is the maximum duration of one fault.
	maxFaultDuration = 6 * time.Second
)

// planner draws the faults of a plan from the seed's random numbers.
type planner struct {
	*rand.Rand
	plan *Plan
	// diskRecoveredAt is when control has recovered from the newest disk loss, and
	// controlRecoveredAt is the same for its other faults except Tear: half of
	// maxFaultDuration after their end. Both count from the start of the traffic.
	diskRecoveredAt, controlRecoveredAt time.Duration
}

// NewPlan returns the plan of a seed. Faults begin during the given period.
func NewPlan(seed uint64, faults time.Duration) Plan {
	return NewPlanWithProxies(seed, faults, 0)
}

// NewPlanWithProxies is NewPlan with a given number of proxies in each failure domain. If
// the number is 0, the seed decides it.
func NewPlanWithProxies(seed uint64, faults time.Duration, proxies int) Plan {
	plan := Plan{Seed: seed, FaultDuration: faults, StutterShare: stutterShare}
	p := planner{Rand: rand.New(rand.NewPCG(seed, 0)), plan: &plan}
	plan.Shape = Shape{
		Domains: 3, Proxies: 1 + p.IntN(3), Groups: 1 + p.IntN(2), Slots: 2 + p.IntN(4),
		Connections: 24 + p.IntN(50), Callers: 30 + p.IntN(30),
	}
	if proxies > 0 {
		plan.Shape.Proxies = proxies
	}
	p.drawSchedule()
	// Faults of promotion requests have random numbers of their own, so that a seed keeps its
	// other faults.
	holds := planner{Rand: newRandom(seed, holdStream), plan: &plan}
	holds.drawHolds()
	return plan
}

// drawSchedule fills the plan's schedule.
func (p *planner) drawSchedule() {
	for at := time.Duration(0); ; {
		at += time.Duration(p.ExpFloat64() * float64(meanFaultInterval))
		if at >= p.plan.FaultDuration {
			return
		}
		if fault := p.drawFault(at); fault != nil {
			p.plan.Schedule = append(p.plan.Schedule, ScheduledFault{After: at, Fault: fault})
		}
	}
}

// drawHolds adds the faults of promotion requests to the plan's schedule.
func (p *planner) drawHolds() {
	for at := time.Duration(0); ; {
		at += time.Duration(p.ExpFloat64() * float64(meanHoldInterval))
		if at >= p.plan.FaultDuration {
			break
		}
		var fault Fault = Hold{Host: Host{KindControl, p.IntN(p.plan.Shape.Domains)}, For: p.drawDuration()}
		if p.IntN(holdsPerOvertake) == 0 {
			fault = Overtake{Group: p.IntN(p.plan.Shape.Groups), For: maxFaultDuration}
		}
		p.plan.Schedule = append(p.plan.Schedule, ScheduledFault{After: at, Fault: fault})
	}
	slices.SortStableFunc(p.plan.Schedule, func(a, b ScheduledFault) int { return cmp.Compare(a.After, b.After) })
}

// drawDuration draws the duration of a fault, up to maxFaultDuration. Short ones are more
// likely.
func (p *planner) drawDuration() time.Duration {
	return time.Duration((0.05 + 0.95*p.Float64()*p.Float64()) * float64(maxFaultDuration))
}

func (p *planner) drawProxy() Host {
	return Host{KindProxy, p.IntN(p.plan.Shape.Domains * p.plan.Shape.Proxies)}
}

func (p *planner) drawMember() Host {
	return Host{KindMember, p.IntN(p.plan.Shape.Domains * p.plan.Shape.Groups)}
}

// drawProcess draws the host of a proxy or control process for a fault. It draws only
// proxies until control has recovered from a disk loss.
func (p *planner) drawProcess(at, duration time.Duration) Host {
	if p.IntN(3) > 0 || at < p.diskRecoveredAt {
		return p.drawProxy()
	}
	p.controlRecoveredAt = max(p.controlRecoveredAt, at+duration+maxFaultDuration/2)
	return Host{KindControl, p.IntN(p.plan.Shape.Domains)}
}

// drawHost draws any host for a fault, members included.
func (p *planner) drawHost(at, duration time.Duration) Host {
	if p.IntN(3) == 0 {
		return p.drawMember()
	}
	return p.drawProcess(at, duration)
}

// drawFault draws a fault that begins at a time. It returns nil if the drawn kind is not
// allowed at that time.
func (p *planner) drawFault(at time.Duration) Fault {
	duration := p.drawDuration()
	switch p.IntN(20) {
	case 0, 1:
		return Kill{Hosts: []Host{p.drawProcess(at, duration)}, Down: duration}
	case 2:
		return p.drawMassKill(at, duration)
	case 3, 4:
		return Stop{Host: p.drawProcess(at, maxFaultDuration), Down: duration / 2}
	case 5, 6:
		return Freeze{Host: p.drawProcess(at, duration), For: duration}
	case 7:
		return p.drawDiskLoss(at, duration)
	case 8:
		return Tear{Host: Host{KindControl, p.IntN(p.plan.Shape.Domains)}, Down: duration / 4}
	case 9, 10:
		receives := p.IntN(3) > 0
		return Cut{Host: p.drawHost(at, duration), Receives: receives, Sends: !receives || p.IntN(2) == 0, For: duration}
	case 11:
		return Delay{Host: p.drawHost(at, duration), By: time.Duration(10+p.IntN(150)) * time.Millisecond, For: duration}
	case 12:
		return Reset{Host: p.drawHost(at, 0)}
	case 13:
		return Silence{Host: p.drawHost(at, maxFaultDuration)}
	case 14:
		return Hangup{Host: p.drawProcess(at, 0)}
	default:
		return p.drawMemberFault(duration)
	}
}

// drawMemberFault draws a fault of a member.
func (p *planner) drawMemberFault(duration time.Duration) Fault {
	switch p.IntN(5) {
	case 0, 1:
		return Crash{Host: p.drawMember(), Down: duration}
	case 2:
		return Retire{Host: p.drawMember()}
	default:
		return p.drawHamper(duration)
	}
}

// drawMassKill draws a kill of all control processes, all proxies or both.
func (p *planner) drawMassKill(at, duration time.Duration) Fault {
	shape := p.plan.Shape
	var hosts []Host
	choice := p.IntN(3)
	if choice != 0 && at >= p.diskRecoveredAt {
		for i := range shape.Domains {
			hosts = append(hosts, Host{KindControl, i})
		}
		p.controlRecoveredAt = max(p.controlRecoveredAt, at+duration+maxFaultDuration/2)
	}
	if choice != 1 || len(hosts) == 0 {
		for i := range shape.Domains * shape.Proxies {
			hosts = append(hosts, Host{KindProxy, i})
		}
	}
	return Kill{Hosts: hosts, Down: duration / 3}
}

// drawDiskLoss draws the loss of a control process's disk. It returns nil if control has not
// yet recovered from its earlier faults.
func (p *planner) drawDiskLoss(at, duration time.Duration) Fault {
	if at < p.diskRecoveredAt || at < p.controlRecoveredAt {
		return nil
	}
	p.diskRecoveredAt = at + duration + diskRecoveryGrace
	return Wipe{Host: Host{KindControl, p.IntN(p.plan.Shape.Domains)}, Down: duration}
}

// drawHamper draws one of the partial faults of a member.
func (p *planner) drawHamper(duration time.Duration) Fault {
	h := Hamper{Host: p.drawMember(), For: duration}
	switch p.IntN(5) {
	case 0:
		h.Work = time.Duration(20+p.IntN(200)) * time.Millisecond
	case 1:
		h.Lag = time.Duration(1+p.IntN(5)) * time.Second
	case 2:
		h.Apart = true
	case 3:
		h.Lose = 1 + p.IntN(10)
	default:
		h.Failing = 1 + p.IntN(6)
	}
	return h
}
