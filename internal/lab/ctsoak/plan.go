package ctsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Shape says what a site is made of.
type Shape struct {
	// Domains is the number of failure domains, with as many control processes and
	// members of each group.
	Domains int `json:"domains"`
	// Proxies is the number of proxies in each failure domain.
	Proxies int `json:"proxies"`
	Groups  int `json:"groups"`
	// Slots and Connections are the limits of each member.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	Callers     int `json:"callers"`
}

// Kind tells what runs on a host.
type Kind string

// The kinds.
const (
	KindProxy   Kind = "proxy"
	KindControl Kind = "control"
	KindMember  Kind = "member"
)

// Host names a host by what runs there and its number among those.
type Host struct {
	Kind   Kind `json:"kind"`
	Number int  `json:"number"`
}

// String names the host.
func (h Host) String() string {
	return fmt.Sprintf("%s-%d", h.Kind, h.Number)
}

// Fault is what is done to the site.
type Fault interface {
	isFault()
}

// Kill kills processes at the same moment and starts them again.
type Kill struct {
	Hosts []Host
	Down  time.Duration
}

// Stop asks a process for a planned stop, kills it at the end of its time, and
// starts it again.
type Stop struct {
	Host Host
	Down time.Duration
}

// Freeze stops a process from running for a while.
type Freeze struct {
	Host Host
	For  time.Duration
}

// Wipe kills a control process and takes its disk.
type Wipe struct {
	Host Host
	Down time.Duration
}

// Tear kills a control process and leaves the beginning of a further write at the
// end of its journal.
type Tear struct {
	Host Host
	Down time.Duration
}

// Cut stops what a host receives, what it sends, or both.
type Cut struct {
	Host     Host
	Receives bool
	Sends    bool
	For      time.Duration
}

// Delay makes all that a host sends and receives late.
type Delay struct {
	Host Host
	By   time.Duration
	For  time.Duration
}

// Reset resets a host's open connections.
type Reset struct {
	Host Host
}

// Silence makes a host's open connections carry nothing more.
type Silence struct {
	Host Host
}

// Hangup changes a process's settings file and tells it so.
type Hangup struct {
	Host Host
}

// Crash ends a member and starts it again with its log.
type Crash struct {
	Host Host
	Down time.Duration
}

// Retire replaces a member in a planned way by one with another name.
type Retire struct {
	Host Host
}

// Hamper makes a member slow, late, apart from the others, or fail in part.
type Hamper struct {
	Host Host
	// Work is how long a statement takes, and Lag how late a replica applies; the
	// usual where 0.
	Work time.Duration
	Lag  time.Duration
	// Apart stops the exchange of the log.
	Apart bool
	// Lose is how many answers go missing, and Failing how many statements of ten
	// fail after they ran.
	Lose    int
	Failing int
	For     time.Duration
}

func (Kill) isFault()    {}
func (Stop) isFault()    {}
func (Freeze) isFault()  {}
func (Wipe) isFault()    {}
func (Tear) isFault()    {}
func (Cut) isFault()     {}
func (Delay) isFault()   {}
func (Reset) isFault()   {}
func (Silence) isFault() {}
func (Hangup) isFault()  {}
func (Crash) isFault()   {}
func (Retire) isFault()  {}
func (Hamper) isFault()  {}

// ScheduledFault is a fault and when it comes, after the start of the traffic.
type ScheduledFault struct {
	After time.Duration
	Fault Fault
}

// Plan is what a seed decides.
type Plan struct {
	Seed     uint64
	Shape    Shape
	Schedule []ScheduledFault
	// FaultDuration is how long faults come.
	FaultDuration time.Duration
}

// The times of plans.
const (
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 1200 * time.Millisecond
	// diskLossInterval is the least time between a lost disk and another fault of a control
	// process: one may be lost at a time, and counts as lost until it has caught up.
	diskLossInterval = 9 * time.Second
	maxFaultDuration = 6 * time.Second
)

// planner draws a plan.
type planner struct {
	*rand.Rand
	plan *Plan
	// diskRecoveredAt is when the newest lost disk is made up for, and control when the newest
	// other fault of a control process is over.
	diskRecoveredAt, controlRecoveredAt time.Duration
}

// NewPlan returns the plan of a seed, with faults for as long as stated.
func NewPlan(seed uint64, faults time.Duration) Plan {
	return NewPlanWithProxies(seed, faults, 0)
}

// NewPlanWithProxies returns the plan of a seed for a site with so many proxies in each
// failure domain; the seed decides how many where that is 0.
func NewPlanWithProxies(seed uint64, faults time.Duration, proxies int) Plan {
	plan := Plan{Seed: seed, FaultDuration: faults}
	p := planner{Rand: rand.New(rand.NewPCG(seed, 0)), plan: &plan}
	plan.Shape = Shape{
		Domains: 3, Proxies: 1 + p.IntN(3), Groups: 1 + p.IntN(2), Slots: 2 + p.IntN(4),
		Connections: 24 + p.IntN(50), Callers: 30 + p.IntN(30),
	}
	if proxies > 0 {
		plan.Shape.Proxies = proxies
	}
	p.drawSchedule()
	return plan
}

// drawSchedule draws the events for the plan's shape.
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

// drawDuration draws a length of time up to the longest.
func (p *planner) drawDuration() time.Duration {
	return time.Duration((0.05 + 0.95*p.Float64()*p.Float64()) * float64(maxFaultDuration))
}

func (p *planner) drawProxy() Host {
	return Host{KindProxy, p.IntN(p.plan.Shape.Domains * p.plan.Shape.Proxies)}
}

func (p *planner) drawMember() Host {
	return Host{KindMember, p.IntN(p.plan.Shape.Domains * p.plan.Shape.Groups)}
}

// drawProcess draws any host with a process of its own. Control processes are left alone
// for a while after one has lost its disk.
func (p *planner) drawProcess(at, duration time.Duration) Host {
	if p.IntN(3) > 0 || at < p.diskRecoveredAt {
		return p.drawProxy()
	}
	p.controlRecoveredAt = max(p.controlRecoveredAt, at+duration+maxFaultDuration/2)
	return Host{KindControl, p.IntN(p.plan.Shape.Domains)}
}

// drawHost draws a host, members included.
func (p *planner) drawHost(at, duration time.Duration) Host {
	if p.IntN(3) == 0 {
		return p.drawMember()
	}
	return p.drawProcess(at, duration)
}

// drawFault draws one fault, or none where the one that was drawn does not fit now.
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

// drawMassKill draws processes that are killed at the same moment.
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

// drawDiskLoss draws the loss of a disk, where no other control process is in trouble.
func (p *planner) drawDiskLoss(at, duration time.Duration) Fault {
	if at < p.diskRecoveredAt || at < p.controlRecoveredAt {
		return nil
	}
	p.diskRecoveredAt = at + duration + diskLossInterval
	return Wipe{Host: Host{KindControl, p.IntN(p.plan.Shape.Domains)}, Down: duration}
}

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
