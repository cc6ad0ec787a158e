package ctcontrol

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// promoter accepts each request after it has called before with the request's trace.
type promoter struct {
	before func(PromotionTrace)
}

func (p promoter) Promote(
	_ context.Context, _ ctid.Group, _ ctid.Member, _ ctid.Control, _ ctquorum.Epoch, trace PromotionTrace,
) (ctsuccession.PromotionOutcome, error) {
	p.before(trace)
	return ctsuccession.PromotionAccepted, nil
}

// promotionBench is a leader that is changing the primary of a group.
type promotionBench struct {
	control  *Control
	held     ctlock.Held
	log      bytes.Buffer
	registry *prometheus.Registry
	task     memberTask
}

// newPromotionBench returns a bench whose requests are accepted after a call of before.
func newPromotionBench(before func(b *promotionBench)) *promotionBench {
	return newTracedBench(func(b *promotionBench, _ PromotionTrace) { before(b) })
}

// newTracedBench is newPromotionBench with the request's trace.
func newTracedBench(before func(b *promotionBench, trace PromotionTrace)) *promotionBench {
	promotion := ctview.Promotion{Member: "b", Epoch: 4, Number: 1}
	requester := ctview.Requester{Control: "x", Epoch: 4, Number: 2}
	b := &promotionBench{
		registry: prometheus.NewRegistry(),
		task:     memberTask{group: "g", member: "b", promotion: promotion, requester: requester, epoch: 4},
	}
	b.control = New(Options{
		Name: "x", Clock: ctclock.System{}, Logger: zerolog.New(&b.log), Metrics: ctmetric.NewControl(b.registry),
		Promoter: promoter{before: func(trace PromotionTrace) { before(b, trace) }},
	})
	groups := []ctconfig.Group{{Name: "g", Promotion: ctconfig.PromotionExternal}}
	accepted := ctconfig.AcceptedChange{Revision: 1, Change: ctconfig.Change{Document: ctconfig.Document{Groups: groups}}}
	b.control.state.With(&b.held, func(l *leaderState) {
		l.register.ConfigHistory = []ctconfig.AcceptedChange{accepted}
	})
	b.control.BecomeLeader(4)
	b.control.SetAuthority(time.Now().Add(time.Hour))
	b.control.state.With(&b.held, func(l *leaderState) {
		now := time.Now()
		machine := l.successions["g"]
		machine.ApplyAnnouncement(now, ctserver.Announcement{Group: "g", Member: "b", Incarnation: 1})
		machine.RecordStatus(now, now, "b", ctsuccession.Probe{}, ctquery.Status{Role: ctserver.RoleReplica})
	})
	group := ctview.Group{Name: "g", Primary: "a", Term: 1, Fence: 2, Candidate: "b", Requester: requester}
	b.set(group, []ctview.Promotion{promotion})
	return b
}

// set makes a decision on the group durable.
func (b *promotionBench) set(group ctview.Group, unsettled []ctview.Promotion) {
	group.Unsettled = unsettled
	b.control.state.With(&b.held, func(l *leaderState) {
		base := l.register.Groups["g"]
		b.apply(l, ctregister.SetGroup{Group: group, BaseTerm: base.Term, BaseFence: base.Fence})
	})
}

// apply applies a command as Apply does with a committed one.
func (b *promotionBench) apply(l *leaderState, command ctregister.Command) {
	result := l.register.Apply(command)
	b.control.measureUnsettled(l, result)
	b.control.updateLeaderState(l, command, result)
}

// assertMetric asserts the sum of a metric's series. It has none if want is 0 and the metric
// has a label.
func assertMetric(t *testing.T, b *promotionBench, name string, want float64) {
	t.Helper()
	families, err := b.registry.Gather()
	assert.NilError(t, err)
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "cherviltrestle_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	assert.Equal(t, sum, want, name)
}

// request requests the bench's promotion and waits for the answer.
func request(t *testing.T, b *promotionBench) {
	t.Helper()
	s := b.control.beginPromotion(&b.held, b.task)
	assert.Assert(t, s != nil)
	b.control.callPromoter(s)
}

// assertLate asserts that the promotion is requested, and whether its answer counts as late.
func assertLate(t *testing.T, b *promotionBench, want bool) {
	t.Helper()
	request(t, b)
	assert.Equal(t, strings.Contains(b.log.String(), "promotion_answered_late"), want, "%s", b.log.String())
	assertMetric(t, b, "control_promotion_requests_total", 1)
	assertMetric(t, b, "control_promotion_requests_unanswered", 0)
}

func TestLateAnswer(t *testing.T) {
	t.Run("the group still waits for the promotion", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) {
			assertMetric(t, b, "control_promotion_requests_unanswered", 1)
		}), false)
	})
	t.Run("the member leads already", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) {
			b.set(ctview.Group{Name: "g", Primary: "b", Term: 2}, nil)
		}), false)
	})
	t.Run("the group has another primary", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) {
			b.set(ctview.Group{Name: "g", Primary: "c", Term: 2}, nil)
		}), true)
	})
	t.Run("the group has another candidate", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) {
			b.set(ctview.Group{Name: "g", Primary: "a", Term: 1, Fence: 2, Candidate: "c"}, nil)
		}), true)
	})
	t.Run("another process leads", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) {
			b.control.BecomeFollower(ctquorum.Peer{Name: "y"})
		}), true)
	})
	t.Run("this process leads again", func(t *testing.T) {
		assertLate(t, newPromotionBench(func(b *promotionBench) { b.control.BecomeLeader(6) }), true)
	})
}

func TestUnsettledMetrics(t *testing.T) {
	settle := func(b *promotionBench) {
		b.control.state.With(&b.held, func(l *leaderState) {
			b.apply(l, ctregister.SettlePromotions{
				Group: "g", Promotions: []ctview.Promotion{b.task.promotion}, Reason: string(ctsuccession.ReasonExpired),
			})
		})
	}
	t.Run("a settled promotion counts once, however often it is reported", func(t *testing.T) {
		b := newPromotionBench(func(*promotionBench) {})
		assertMetric(t, b, "control_promotions_unsettled", 1)
		settle(b)
		settle(b)
		assertMetric(t, b, "control_promotions_unsettled", 0)
		assertMetric(t, b, "control_promotions_settled_total", 1)
		assert.Equal(t, strings.Count(b.log.String(), `"settle_promotion"`), 1, "%s", b.log.String())
	})
	t.Run("a snapshot replaces what was counted", func(t *testing.T) {
		b := newPromotionBench(func(*promotionBench) {})
		data, err := ctrecord.EncodeRegister(&ctregister.Register{})
		assert.NilError(t, err)
		assert.NilError(t, b.control.Restore(data))
		assertMetric(t, b, "control_promotions_unsettled", 0)
	})
}
