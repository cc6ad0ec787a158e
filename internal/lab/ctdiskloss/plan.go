package ctdiskloss

import (
	"math/rand/v2"
	"slices"
)

// Seed decides which control processes lose their disks.
type Seed uint64

// Victims says which control processes lose their disks. Those of the previous loss are spared, as their
// time to catch up would begin anew.
type Victims interface{ isVictims() }

// Leading strikes the leader and a seed, so that the next leader is seldom a seed.
type Leading struct{}

// Seeds strikes seeds, as many as there are.
type Seeds struct{}

// Oldest strikes those whose disks have lasted longest.
type Oldest struct{}

// Drawn strikes any.
type Drawn struct{}

func (Leading) isVictims() {}
func (Seeds) isVictims()   {}
func (Oldest) isVictims()  {}
func (Drawn) isVictims()   {}

// Loss is the loss of maxDiskLosses disks.
type Loss struct {
	Victims Victims
	// Replaced is how many of the victims are gone for good. Others with empty disks start in their place at
	// other addresses. Seeds come back, as the settings of all name them.
	Replaced int
}

// Plan is a list of losses.
type Plan struct {
	Losses []Loss
	random *rand.Rand
}

// NewPlan returns the plan of a seed: the first loss strikes seeds, while another process leads, and the last one those
// whose disks have lasted longest.
func NewPlan(seed Seed) Plan {
	const drawnLosses = 2
	p := Plan{Losses: []Loss{{Victims: Seeds{}}}, random: rand.New(rand.NewPCG(uint64(seed), 0))}
	kinds := []Victims{Leading{}, Seeds{}, Oldest{}, Drawn{}}
	for range drawnLosses {
		p.Losses = append(p.Losses, Loss{Victims: kinds[p.random.IntN(len(kinds))], Replaced: p.random.IntN(2)})
	}
	p.Losses = append(p.Losses, Loss{Victims: Oldest{}})
	return p
}

// selectVictims returns the maxDiskLosses control processes that a loss strikes. number counts the
// losses from 1, and leader is nil if there is none.
func (p *Plan) selectVictims(victims Victims, controls []*process, leader *process, number int) []*process {
	allowed := slices.DeleteFunc(slices.Clone(controls), func(c *process) bool {
		return c.lostAt > 0 && c.lostAt == number-1
	})
	p.random.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
	slices.SortStableFunc(allowed, func(a, b *process) int { return rank(victims, a, leader) - rank(victims, b, leader) })
	return allowed[:maxDiskLosses]
}

// rank orders the control processes that a loss may strike. Low ones are struck first.
func rank(victims Victims, c, leader *process) int {
	switch victims.(type) {
	case Leading:
		switch {
		case c == leader:
			return 0
		case c.isSeed:
			return 1
		}
		return 2
	case Seeds:
		if c.isSeed {
			return 0
		}
		return 1
	case Oldest:
		return c.lostAt
	}
	return 0
}
