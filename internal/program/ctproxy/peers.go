package ctproxy

import (
	"context"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// servePeers serves the streams that other processes open, until ctx ends.
func (p *Proxy) servePeers(ctx context.Context) {
	err := p.endpoint.Serve(ctx, func(ctx context.Context, stream *ctquic.Stream) {
		p.servePeer(ctx, ctstream.New(stream))
	})
	if ctx.Err() == nil {
		p.logger.Error().Str("event", "peers_failed").Str("error", err.Error()).Send()
	}
}

// servePeer serves one stream, which carries either an exchange or queries. It
// closes the stream.
func (p *Proxy) servePeer(ctx context.Context, stream *ctstream.Stream) {
	defer stream.Close()
	var held ctlock.Held
	for {
		frame, err := stream.Read()
		if err != nil {
			p.rejectFrame(stream, err)
			return
		}
		if first, ok := frame.(*ctframe.FirstRequest); ok {
			p.holder.ServeExchange(ctx, stream, first)
			return
		}
		answer := p.answer(&held, frame)
		if answer == nil || stream.Write(answer) != nil {
			return
		}
	}
}

// answer returns the answer to a query of another process, or nil if the frame is
// not a query.
func (p *Proxy) answer(held *ctlock.Held, frame ctframe.Frame) ctframe.Frame {
	switch f := frame.(type) {
	case *ctframe.AwaitReceived:
		return p.holder.ServeAwaitReceived(f)
	case *ctframe.Position:
		return p.holder.ServePosition(held, f)
	case *ctframe.Cancel:
		p.holder.ServeCancel(held, f)
		return f
	case *ctframe.Fetch:
		return &ctframe.FetchReply{Delta: newerDelta(p.state.View(held), f.Version)}
	}
	return nil
}

// newerDelta returns the full view as a delta, or nil if the view is not newer than
// the requester's version.
func newerDelta(view *ctview.View, version ctview.Version) *ctview.Delta {
	if view.Version <= version {
		return nil
	}
	return view.FullDelta()
}

// rejectFrame logs and answers a malformed frame. It ignores other read errors.
func (p *Proxy) rejectFrame(stream *ctstream.Stream, err error) {
	if cterror.KindOf(err) != cterror.Invalid {
		return
	}
	p.logger.Warn().Str("event", "bad_frame").Str("error", err.Error()).Send()
	_ = stream.Write(&ctframe.ErrorReply{Kind: cterror.Invalid.String(), Message: err.Error()})
}
