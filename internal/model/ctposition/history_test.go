package ctposition_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

func TestCovers(t *testing.T) {
	history := ctposition.History{{Term: 2, Position: 400}, {Term: 3, Position: 500}}
	at := func(term ctposition.Term, position ctposition.Position) ctposition.Point {
		return ctposition.Point{Term: term, Position: position}
	}
	for _, c := range []struct {
		name              string
		reached, required ctposition.Point
		want              bool
	}{
		{"nothing required", at(1, 0), ctposition.Point{}, true},
		{"same point", at(1, 100), at(1, 100), true},
		{"ahead in the same term", at(1, 101), at(1, 100), true},
		{"behind in the same term", at(1, 99), at(1, 100), false},
		{"earlier term, point before the promotion", at(2, 450), at(1, 400), true},
		{"earlier term, point discarded by the promotion", at(2, 450), at(1, 401), false},
		{"two terms earlier, point before both promotions", at(3, 600), at(1, 400), true},
		{"point discarded by the first of two promotions", at(3, 600), at(1, 450), false},
		{"point discarded by the second of two promotions", at(3, 600), at(2, 550), false},
		{"later term than reached", at(1, 900), at(2, 450), false},
		{"term missing from the history", at(4, 900), at(3, 550), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, history.Covers(c.reached, c.required), c.want)
		})
	}
}
