package ctcontrol

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// sendingLine is what the tests read of a line on a promotion request. A field that the line
// lacks is nil.
type sendingLine struct {
	Decision   string   `json:"decision"`
	Epoch      uint64   `json:"epoch"`
	Authority  *float64 `json:"authority"`
	Connected  *float64 `json:"connected"`
	Written    *float64 `json:"written"`
	Took       *float64 `json:"took"`
	Leading    *bool    `json:"leading"`
	Unsettled  *int     `json:"unsettled"`
	Promotions []struct {
		Member string `json:"member"`
		Epoch  uint64 `json:"epoch"`
		Number uint64 `json:"number"`
	} `json:"promotions"`
}

// findLine returns the only line on a decision.
func findLine(t *testing.T, b *promotionBench, decision string) sendingLine {
	t.Helper()
	var found []sendingLine
	for _, text := range bytes.Split(bytes.TrimSpace(b.log.Bytes()), []byte("\n")) {
		var line sendingLine
		assert.NilError(t, json.Unmarshal(text, &line))
		if line.Decision == decision {
			found = append(found, line)
		}
	}
	assert.Equal(t, len(found), 1, "%s", b.log.String())
	return found[0]
}

// assertWritten asserts what the line on an answer says of the transmission, and how many requests
// were written without authority.
func assertWritten(t *testing.T, b *promotionBench, leading, authority bool) {
	t.Helper()
	request(t, b)
	line := findLine(t, b, "order_promotion")
	inOrder := *line.Connected >= 0 && *line.Connected <= *line.Written && *line.Written <= *line.Took
	assert.Assert(t, inOrder, "%s", b.log.String())
	assert.Equal(t, *line.Leading, leading)
	assert.Equal(t, *line.Authority > 0, authority, "%f", *line.Authority)
	without := 1.0
	if leading && authority {
		without = 0
	}
	assertMetric(t, b, "control_promotion_requests_without_authority_total", without)
}

// write calls the functions of a trace as a sender does.
func write(trace PromotionTrace) {
	trace.Connected()
	time.Sleep(time.Millisecond)
	trace.Written()
}

// TestWrittenRequest covers logs that don't tell a request that is held on its way from one that
// a former leader sends.
func TestWrittenRequest(t *testing.T) {
	t.Run("with authority", func(t *testing.T) {
		assertWritten(t, newTracedBench(func(_ *promotionBench, trace PromotionTrace) { write(trace) }), true, true)
	})
	t.Run("after the authority has expired", func(t *testing.T) {
		assertWritten(t, newTracedBench(func(b *promotionBench, trace PromotionTrace) {
			b.control.SetAuthority(time.Now())
			write(trace)
		}), true, false)
	})
	t.Run("with authority that was renewed since the check", func(t *testing.T) {
		assertWritten(t, newTracedBench(func(b *promotionBench, trace PromotionTrace) {
			b.control.SetAuthority(time.Now())
			b.control.SetAuthority(time.Now().Add(time.Hour))
			write(trace)
		}), true, true)
	})
	t.Run("after another process began to lead", func(t *testing.T) {
		assertWritten(t, newTracedBench(func(b *promotionBench, trace PromotionTrace) {
			b.control.BecomeFollower(ctquorum.Peer{Name: "y"})
			write(trace)
		}), false, true)
	})
	t.Run("when this process leads in a later epoch", func(t *testing.T) {
		assertWritten(t, newTracedBench(func(b *promotionBench, trace PromotionTrace) {
			b.control.BecomeLeader(6)
			write(trace)
		}), false, true)
	})
}

func TestRequestLines(t *testing.T) {
	t.Run("a request lists the other unsettled promotions of its group", func(t *testing.T) {
		b := newPromotionBench(func(*promotionBench) {})
		earlier := ctview.Promotion{Member: "c", Epoch: 3, Number: 7}
		group := ctview.Group{Name: "g", Primary: "a", Term: 1, Fence: 2, Candidate: "b"}
		b.set(group, []ctview.Promotion{earlier, b.task.promotion})
		request(t, b)
		line := findLine(t, b, "request_promotion")
		assert.Equal(t, *line.Unsettled, 1)
		assert.Equal(t, len(line.Promotions), 1)
		assert.Equal(t, line.Promotions[0].Member, "c")
		assert.Equal(t, line.Promotions[0].Epoch, uint64(3))
		assert.Equal(t, line.Promotions[0].Number, uint64(7))
	})
	t.Run("a request shows how long its sender's authority lasts", func(t *testing.T) {
		b := newPromotionBench(func(*promotionBench) {})
		b.control.SetAuthority(time.Now().Add(2 * time.Second))
		request(t, b)
		line := findLine(t, b, "request_promotion")
		assert.Assert(t, *line.Authority > 0 && *line.Authority <= 2000, "%f", *line.Authority)
		assert.Equal(t, *line.Unsettled, 0)
	})
	t.Run("steps that were not reached are missing", func(t *testing.T) {
		b := newPromotionBench(func(*promotionBench) {})
		request(t, b)
		line := findLine(t, b, "order_promotion")
		assert.Assert(t, line.Connected == nil && line.Written == nil && line.Authority == nil && line.Leading == nil)
	})
	t.Run("nothing is sent after a suspension", func(t *testing.T) {
		b := newTracedBench(func(_ *promotionBench, trace PromotionTrace) { write(trace) })
		s := b.control.beginPromotion(&b.held, b.task)
		s.checkedAt = s.checkedAt.Add(-ctpromotion.AnswerTimeout)
		b.control.callPromoter(s)
		line := findLine(t, b, "order_promotion")
		assert.Assert(t, line.Written == nil && *line.Took >= 1000, "%s", b.log.String())
	})
}
