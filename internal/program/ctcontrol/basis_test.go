package ctcontrol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// basisLine is what the tests read of a line on a decision.
type basisLine struct {
	Decision  string `json:"decision"`
	Member    string `json:"member"`
	Replaces  string `json:"replaces"`
	Candidate string `json:"candidate"`
	Received  string `json:"received"`
	Known     int    `json:"known"`
	Members   []struct {
		Member   string `json:"member"`
		Received string `json:"received"`
	} `json:"members"`
	Why string `json:"why"`
}

// assertBasisLine asserts that a decision logs one line, and returns it.
func assertBasisLine(t *testing.T, group ctview.Group, set ctsuccession.SetGroup) basisLine {
	t.Helper()
	var log bytes.Buffer
	c := New(Options{Logger: zerolog.New(&log)})
	c.logBasis(group, set)
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("\n")), 1, "%s", log.String())
	var line basisLine
	assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
	return line
}

func TestLogBasis(t *testing.T) {
	group := ctview.Group{Name: "g", Primary: "a", Term: 1, Fence: 2, Candidate: "b"}
	t.Run("a candidate with the members that were counted", func(t *testing.T) {
		basis := ctsuccession.CandidateBasis{Condition: ctsuccession.ConditionNoneAhead}
		for i := range maxLoggedMembers + 1 {
			received := ctposition.Point{Term: 1, Position: 100}
			basis.Members = append(basis.Members, ctsuccession.MemberBasis{
				Member: ctid.Member(fmt.Sprintf("m%02d", i)), Received: received,
			})
		}
		line := assertBasisLine(t, group, ctsuccession.SetGroup{Group: ctview.Group{Candidate: "c"}, Basis: basis})
		assert.Equal(t, line.Decision, "choose_candidate")
		assert.Equal(t, line.Member, "c")
		assert.Equal(t, line.Replaces, "b")
		assert.Equal(t, line.Why, "none_ahead")
		assert.Equal(t, line.Known, maxLoggedMembers+1)
		assert.Equal(t, len(line.Members), maxLoggedMembers)
		assert.Equal(t, line.Members[0].Received, "1:0/64")
	})
	t.Run("an adopted primary and the candidate of the time", func(t *testing.T) {
		basis := ctsuccession.AdoptionBasis{Member: "c", Term: 3, Received: ctposition.Point{Term: 3, Position: 100}}
		line := assertBasisLine(t, group, ctsuccession.SetGroup{Reason: ctsuccession.ReasonLaterTerm, Basis: basis})
		assert.Equal(t, line.Decision, "adopt_primary")
		assert.Equal(t, line.Member, "c")
		assert.Equal(t, line.Candidate, "b")
		assert.Equal(t, line.Received, "3:0/64")
	})
	t.Run("other decisions log nothing more", func(t *testing.T) {
		var log bytes.Buffer
		c := New(Options{Logger: zerolog.New(&log)})
		c.logBasis(group, ctsuccession.SetGroup{Reason: ctsuccession.ReasonLost})
		assert.Equal(t, log.Len(), 0)
	})
}
