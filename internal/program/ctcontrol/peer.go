package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// replyReserve is the part of ctframe.ReportTimeout that is left for the transmission of the reply.
	replyReserve = 100 * time.Millisecond
	// viewQueueTimeout is how long a view may wait to be sent: a part of the time after which a
	// proxy gives up its watch.
	viewQueueTimeout = 1500 * time.Millisecond
	// leaderlessRetry is when a proxy is to report again if there was no reply from the leader.
	leaderlessRetry = 100 * time.Millisecond
)

// peer is a stream that another process opened. One goroutine uses it.
type peer struct {
	service *Service
	stream  ctframe.Stream
	held    ctlock.Held
	// answered reports whether a report was answered on the stream.
	answered bool
	// slot is that of the frame being handled, and receivedAt is when the process received it.
	slot       *slot
	receivedAt time.Time
	// transfer is the slot of the whole view that was sent last, until the next frame.
	transfer *slot
}

// Serve serves one stream that another process opened, until it ends.
func (s *Service) Serve(ctx context.Context, stream ctframe.Stream) {
	p := &peer{service: s, stream: stream}
	defer func() {
		p.slot.release(&p.held)
		p.transfer.release(&p.held)
	}()
	for p.serveNext(ctx) {
	}
}

// serveNext reads a frame and answers it. It returns false when the stream has to be closed.
func (p *peer) serveNext(ctx context.Context) bool {
	raw, err := ctframe.ReadRawFrom(p.stream)
	if err != nil {
		return false
	}
	p.transfer.release(&p.held)
	p.transfer, p.slot = nil, nil
	p.receivedAt = p.service.Clock.Now().Add(-raw.Waited)
	if arrival, needsSlot := p.arrivalOf(&raw); needsSlot {
		var effect ctintake.Effect
		effect, p.slot = p.service.frames.enter(ctx, &p.held, arrival)
		switch e := effect.(type) {
		case ctintake.Reject:
			return p.stream.Write(&ctframe.Retry{After: e.After}) == nil
		case ctintake.Drop:
			return false
		}
	}
	frame, err := raw.Decode()
	if err != nil {
		return false
	}
	if message, ok := frame.(*ctframe.Quorum); ok {
		p.service.replica.Receive(message)
		return true
	}
	reply := p.service.handleFrame(ctx, &p.held, p, frame)
	p.slot.release(&p.held)
	if reply == nil || p.stream.Write(reply) != nil {
		return false
	}
	_, isReport := frame.(*ctframe.Report)
	_, isAnswer := reply.(*ctframe.ReportReply)
	p.answered = p.answered || (isReport && isAnswer)
	return true
}

// arrivalOf returns what a frame asks of the intake, and whether it needs a slot. Messages of
// the replicated log need none, and watches only for a whole view.
func (p *peer) arrivalOf(raw *ctframe.Raw) (ctintake.Arrival, bool) {
	arrival := ctintake.Arrival{Work: ctintake.Call{}, Waited: raw.Waited, Timeout: forwardTimeout}
	switch raw.Empty().(type) {
	case nil, *ctframe.Quorum, *ctframe.Watch:
		return arrival, false
	case *ctframe.Report:
		arrival.Work, arrival.Timeout = ctintake.FirstReport{}, ctframe.ReportTimeout
		if p.answered {
			arrival.Work = ctintake.Renewal{}
		}
	case *ctframe.ReportBatch:
		arrival.Timeout = relayTimeout
	}
	return arrival, true
}

// releaseSlot releases the slot of the frame being handled, which from now on only waits. p is nil
// for a frame of this process.
func (p *peer) releaseSlot() {
	if p != nil {
		p.slot.release(&p.held)
	}
}

// reportTime returns how long the report being handled may wait for the leader's reply.
func (p *peer) reportTime(now time.Time) time.Duration {
	return min(relayTimeout, p.receivedAt.Add(ctframe.ReportTimeout-replyReserve).Sub(now))
}

// handleReport returns the leader's reply to a proxy's report. If another process leads,
// the report is forwarded; if that fails, the proxy is to report again. A process that has not
// joined the others answers at once, so that the proxy asks another one.
func (s *Service) handleReport(
	ctx context.Context, held *ctlock.Held, from *peer, report *ctview.Report,
) ctframe.Frame {
	reply := s.control.HandleReport(held, report)
	if !reply.NotLeader {
		return s.replyFrame(reply)
	}
	if s.replica.Unjoined() {
		return &ctframe.Retry{After: leaderlessRetry, Leaderless: true, Unjoined: true, Controls: s.replica.Controls(held)}
	}
	if from != nil {
		from.releaseSlot()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, from.reportTime(s.Clock.Now()))
		defer cancel()
	}
	if relayed, ok := s.reports.call(ctx, held, *report); ok {
		return s.replyFrame(&relayed)
	}
	return &ctframe.Retry{After: leaderlessRetry, Leaderless: true, Controls: s.replica.Controls(held)}
}

// handleWatch answers a watch once there is a newer view or the time is over. Only a few whole
// views are transmitted to proxies at once: over a slow link, all of them together would arrive
// too late.
func (s *Service) handleWatch(
	ctx context.Context, held *ctlock.Held, from *peer, watch *ctframe.Watch,
) ctframe.Frame {
	watchCtx, cancel := context.WithTimeout(ctx, serviceWatchTimeout)
	defer cancel()
	reply := s.watchView(watchCtx, held, watch)
	if from == nil || watch.Mirror || reply.Delta == nil || reply.Delta.From != 0 {
		return s.replyFrame(reply)
	}
	effect, transfer := s.transfers.enter(ctx, held, ctintake.Arrival{Work: ctintake.View{}, Timeout: viewQueueTimeout})
	switch e := effect.(type) {
	case ctintake.Reject:
		return &ctframe.Retry{After: e.After}
	case ctintake.Drop:
		return &ctframe.Retry{After: leaderlessRetry}
	}
	from.transfer = transfer
	go transfer.releaseAfter(ctintake.MaxViewTime)
	return s.replyFrame(reply)
}
