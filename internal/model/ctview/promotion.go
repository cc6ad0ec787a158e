package ctview

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Epoch is the number of a leadership of control. Later leaders have higher ones.
type Epoch uint64

// PromotionNumber tells the promotions of one group and epoch apart.
type PromotionNumber uint64

// Promotion is the promotion of a member that the leader of an epoch has requested, or
// may have requested, from the external service.
type Promotion struct {
	Member ctid.Member     `json:"member" cbor:"member"`
	Epoch  Epoch           `json:"epoch" cbor:"epoch"`
	Number PromotionNumber `json:"number" cbor:"number"`
}

// Check returns an error of kind cterror.Invalid if the member's name is invalid.
func (p *Promotion) Check() error {
	return p.Member.Check()
}

// checkPromotions returns the error of the first invalid promotion.
func checkPromotions(promotions []Promotion) error {
	for i := range promotions {
		if err := promotions[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// MergePromotions returns the promotions of both lists, each once. It changes neither.
func MergePromotions(a, b []Promotion) []Promotion {
	merged := slices.Clone(a)
	for _, p := range b {
		if !slices.Contains(merged, p) {
			merged = append(merged, p)
		}
	}
	return merged
}

// GuardMembers returns the members other than the primary that the external service may
// still promote, each once. A commit is lost if one of them is promoted without it.
func (g *Group) GuardMembers() []ctid.Member {
	var members []ctid.Member
	for _, p := range g.Unsettled {
		if p.Member != g.Primary && !slices.Contains(members, p.Member) {
			members = append(members, p.Member)
		}
	}
	return members
}
