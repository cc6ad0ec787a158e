package ctplace_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// The model's members and paths.
const (
	modelSlots     = 4
	modelQueue     = 32
	modelStatement = 15 * time.Millisecond
	modelNearPath  = 3 * time.Millisecond
	modelFarPath   = 21 * time.Millisecond
	modelRegions   = 3
	modelOwners    = 9
	modelAttempts  = 3
	modelAvoid     = 60 * time.Millisecond
	modelFaultTTL  = 500 * time.Millisecond
	modelTime      = 20 * time.Second
	modelWindow    = 100 * time.Millisecond
)

// policy selects the member that is tried first.
type policy func(now time.Time, candidates []ctplace.Candidate, proxies int, random func() float64) ctid.Member

func oldPolicy(now time.Time, candidates []ctplace.Candidate, _ int, _ func() float64) ctid.Member {
	return ctplace.Order(now, candidates)[0].Member
}

func newPolicy(now time.Time, candidates []ctplace.Candidate, proxies int, random func() float64) ctid.Member {
	return ctplace.Choose(now, candidates, proxies, random).Ranked[0].Member
}

// scenario is a run of the model: one group with a member in each region.
type scenario struct {
	proxies int
	// few reports that there are 6 or 12 proxies, each with many statements in flight.
	few bool
	// age is how late a proxy learns of an answer at most.
	age time.Duration
	// demand is the statements of each region's proxies, as a part of what a member serves.
	demand [modelRegions]float64
	// slowdown returns the factor of the time of statements at a member; nil stands for 1.
	slowdown func(member int, since time.Duration) float64
	// fails returns the part of the statements that a member fails at a time.
	fails func(member int, since time.Duration) float64
	// onePath reports that all members are near to all proxies.
	onePath bool
	// duration is modelTime if it is 0.
	duration time.Duration
	// noOutcomes disables the records of outcomes.
	noOutcomes bool
}

// result is what a scenario showed.
type result struct {
	spread          float64
	mean, high      time.Duration
	rejected        int
	failedAnswers   int
	unserved, total int
	far             int
	perMember       [modelRegions]int
	ejections       int
}

// add adds a part of another result.
func (r *result) add(other result, parts int) {
	r.spread += other.spread / float64(parts)
	r.mean += other.mean / time.Duration(parts)
	r.high += other.high / time.Duration(parts)
	for _, c := range []struct{ to, from *int }{
		{&r.rejected, &other.rejected}, {&r.failedAnswers, &other.failedAnswers}, {&r.unserved, &other.unserved},
		{&r.total, &other.total}, {&r.far, &other.far}, {&r.ejections, &other.ejections},
	} {
		*c.to += *c.from
	}
	for i, n := range other.perMember {
		r.perMember[i] += n
	}
}

// String returns the figures on one line.
func (r result) String() string {
	return fmt.Sprintf("busiest/mean %.2f, wait %d ms, 99%% %d ms, of %d statements: rejected %d, failed %d, "+
		"unserved %d, far %.1f%%, by member %v, ejections %d", r.spread, r.mean.Milliseconds(), r.high.Milliseconds(),
		r.total, r.rejected, r.failedAnswers, r.unserved, 100*float64(r.far)/float64(r.total), r.perMember, r.ejections)
}

// modelMember is a member with slots and a queue.
type modelMember struct {
	name    ctid.Member
	running int
	queue   []*modelRequest
	owners  [modelOwners]ctplace.Latency
	// load is the statements at the member times the time in the window.
	load      float64
	changedAt time.Time
}

// known is what a proxy knows of a member.
type known struct {
	latency  ctplace.Latency
	running  int
	avoid    time.Time
	hint     ctplace.Hint
	outcomes ctplace.Outcomes
}

type modelRequest struct {
	proxy, member, owner int
	startedAt, sentAt    time.Time
	arrivedAt            time.Time
	took                 time.Duration
	attempts             int
	tried                [modelRegions]bool
}

type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model simulates the proxies of a scenario on a manual clock.
type model struct {
	scenario
	choose policy
	// arrivals draws the arrivals and the times of statements, so that they are the same under
	// each policy. random draws all else.
	arrivals *rand.Rand
	random   *rand.Rand
	now      time.Time
	events   events
	count    int
	members  [modelRegions]modelMember
	proxies  [][modelRegions]known
	result   result
	spreads  []float64
	waits    []time.Duration
}

func runModel(s scenario, choose policy) result {
	m := &model{
		scenario: s, choose: choose, arrivals: rand.New(rand.NewPCG(3, 5)), random: rand.New(rand.NewPCG(7, 11)), now: now,
		proxies: make([][modelRegions]known, s.proxies),
	}
	for i := range m.members {
		m.members[i].name = ctid.Member([]string{"m1", "m2", "m3"}[i])
		m.members[i].changedAt = now
	}
	for p := range m.proxies {
		m.arriveNext(p)
	}
	m.after(modelWindow, m.sampleLoad)
	end := now.Add(cmp.Or(s.duration, modelTime))
	for len(m.events) > 0 && !m.now.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.finish()
}

func (m *model) after(d time.Duration, run func()) {
	m.count++
	heap.Push(&m.events, event{at: m.now.Add(d), number: m.count, run: run})
}

// exponential returns a random time with a mean.
func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.arrivals.ExpFloat64() * float64(mean))
}

func (m *model) arriveNext(p int) {
	region := p % modelRegions
	perSecond := m.demand[region] * modelSlots / modelStatement.Seconds() / (float64(len(m.proxies)) / modelRegions)
	m.after(m.exponential(time.Duration(float64(time.Second)/perSecond)), func() {
		m.arriveNext(p)
		m.result.total++
		took := 2*modelNearPath/3 + m.exponential(modelStatement-2*modelNearPath/3)
		m.send(&modelRequest{proxy: p, startedAt: m.now, took: took})
	})
}

func (m *model) path(r *modelRequest) time.Duration {
	if m.onePath || r.proxy%modelRegions == r.member {
		return modelNearPath
	}
	return modelFarPath
}

// send sends a request to the member that the policy selects.
func (m *model) send(r *modelRequest) {
	var candidates []ctplace.Candidate
	for i := range m.members {
		k := &m.proxies[r.proxy][i]
		if r.tried[i] {
			continue
		}
		candidates = append(candidates, ctplace.Candidate{
			Member: m.members[i].name, Latency: k.latency, Running: k.running, FreeConnections: 1,
			AvoidUntil: k.avoid, Hint: k.hint, Standing: k.outcomes.Standing(m.now),
		})
	}
	name := m.choose(m.now, candidates, len(m.proxies), m.random.Float64)
	r.member = slices.IndexFunc(m.members[:], func(c modelMember) bool { return c.name == name })
	k := &m.proxies[r.proxy][r.member]
	k.running++
	k.outcomes.Probe(m.now)
	r.sentAt, r.owner = m.now, m.random.IntN(modelOwners)
	r.attempts++
	m.result.perMember[r.member]++
	if m.path(r) == modelFarPath {
		m.result.far++
	}
	m.after(m.path(r), func() { m.arrive(r) })
}

// arrive is the arrival of a request at its member.
func (m *model) arrive(r *modelRequest) {
	member := &m.members[r.member]
	r.arrivedAt = m.now
	m.account(member)
	switch {
	case member.running < modelSlots:
		m.start(r)
	case len(member.queue) < modelQueue:
		member.queue = append(member.queue, r)
	default:
		m.result.rejected++
		m.after(m.path(r), func() { m.answer(r, false, true) })
	}
}

func (m *model) start(r *modelRequest) {
	member := &m.members[r.member]
	member.running++
	slowdown := 1.0
	if m.slowdown != nil {
		slowdown = m.slowdown(r.member, m.now.Sub(now))
	}
	m.after(timesFloat(r.took, slowdown), func() {
		m.account(member)
		member.running--
		if len(member.queue) > 0 {
			next := member.queue[0]
			member.queue = member.queue[1:]
			m.start(next)
		}
		failed := m.fails != nil && m.random.Float64() < m.fails(r.member, m.now.Sub(now))
		if !failed {
			member.owners[r.owner].Observe(m.now, m.now.Sub(r.arrivedAt))
		}
		m.after(m.path(r), func() { m.answer(r, !failed, false) })
	})
}

func timesFloat(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}

// answer is the arrival of the answer at the proxy. The proxy learns of it late.
func (m *model) answer(r *modelRequest, ok, busy bool) {
	k := &m.proxies[r.proxy][r.member]
	k.running--
	excess, took := m.members[r.member].owners[r.owner].Excess(m.now), m.now.Sub(r.sentAt)
	m.after(timesFloat(m.age, m.random.Float64()), func() { m.learn(k, excess, took, ok, busy) })
	if ok {
		m.waits = append(m.waits, m.now.Sub(r.startedAt))
		return
	}
	if !busy {
		m.result.failedAnswers++
	}
	if r.attempts >= modelAttempts {
		m.result.unserved++
		return
	}
	r.tried[r.member] = true
	m.send(r)
}

// learn updates what a proxy knows of a member.
func (m *model) learn(k *known, excess, took time.Duration, ok, busy bool) {
	k.hint = ctplace.Hint{Excess: excess, ReceivedAt: m.now}
	switch {
	case ok:
		k.latency.Observe(m.now, took)
		if !m.noOutcomes {
			k.outcomes.Succeed(m.now)
		}
	case busy:
		k.avoid = m.now.Add(modelAvoid)
	default:
		k.avoid = m.now.Add(modelFaultTTL)
		if !m.noOutcomes && k.outcomes.Fail(m.now) {
			m.result.ejections++
		}
	}
}

// account adds the load of a member since its last change.
func (m *model) account(member *modelMember) {
	member.load += float64(member.running+len(member.queue)) * m.now.Sub(member.changedAt).Seconds()
	member.changedAt = m.now
}

// sampleLoad records the spread of the load in a window.
func (m *model) sampleLoad() {
	highest, sum := 0.0, 0.0
	for i := range m.members {
		member := &m.members[i]
		m.account(member)
		highest, sum = max(highest, member.load), sum+member.load
		member.load = 0
	}
	if sum > 0 {
		m.spreads = append(m.spreads, highest/(sum/modelRegions))
	}
	m.after(modelWindow, m.sampleLoad)
}

func (m *model) finish() result {
	r := m.result
	for _, s := range m.spreads {
		r.spread += s / float64(len(m.spreads))
	}
	slices.Sort(m.waits)
	for _, w := range m.waits {
		r.mean += w / time.Duration(len(m.waits))
	}
	r.high = m.waits[len(m.waits)*99/100]
	return r
}
