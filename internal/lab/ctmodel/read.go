package ctmodel

import (
	"math/rand/v2"
	"time"
)

// readInterval is the mean interval of a proxy's reads.
const readInterval = 100 * time.Millisecond

// reader sends the reads of the proxies. Its random numbers are its own, so that reads change
// nothing else in a run.
type reader struct {
	random *rand.Rand
}

func newReader(plan Plan) reader {
	return reader{random: rand.New(rand.NewPCG(plan.Seed, 2))}
}

// between returns a random duration.
func (r *reader) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.random.Int64N(int64(longest-shortest)+1))
}

// latency returns the time that a read takes to a member. Some take long.
func (r *reader) latency() time.Duration {
	if r.random.Float64() < 0.1 {
		return r.between(100*time.Millisecond, commitTimeout)
	}
	return r.between(time.Millisecond, 15*time.Millisecond)
}

// sendRead sends a read to the primary of the proxy's view, if the view allows it. The member
// runs it in whatever role it has by then.
func (w *world) sendRead(p *proxy) {
	group := p.group()
	allowed := group.Primary != "" && !group.ChangingPrimary() && w.now.Before(p.authority)
	if !allowed || !w.answers(p.party(), group.Primary) {
		return
	}
	m, known := w.memberNamed(group.Primary), len(w.group.acknowledged)
	w.schedule(w.reader.latency(), func() {
		if w.answers(p.party(), m.name) {
			w.checkRead(p, m, w.group.acknowledged[:known])
		}
	})
}

// checkRead checks a read that runs on a member, before which commits had been acknowledged.
func (w *world) checkRead(p *proxy, m *member, acknowledged []entry) {
	w.report.Reads++
	for _, e := range acknowledged {
		if !m.has(e) {
			w.violate(RuleStale, "through %s on %s of term %d, lacks %s", p.name, m.name, m.term, pointOf(e))
			return
		}
	}
}
