package ctcontrol

import (
	"context"
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// PersistentClient asks members over one connection each, which it keeps.
type PersistentClient struct {
	Dialer ctpools.Dialer
	// DecodeStatus decodes the answer to a question.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)

	mutex sync.Mutex
	links map[ctid.Member]ctpools.RawConn
}

// Call asks a question and returns the member's status.
func (p *PersistentClient) Call(
	ctx context.Context, server ctserver.Announcement, question ctsuccession.Command,
) (ctquery.Status, error) {
	link, kept, err := p.take(ctx, server)
	if err != nil {
		return ctquery.Status{}, err
	}
	answer, err := exchange(ctx, link, question)
	if err != nil && kept && ctx.Err() == nil {
		// The member may have been started again since the link was used.
		link.Close()
		if link, err = p.Dialer.Dial(ctx, server); err != nil {
			return ctquery.Status{}, err
		}
		answer, err = exchange(ctx, link, question)
	}
	if err != nil {
		link.Close()
		return ctquery.Status{}, err
	}
	p.keep(server.Member, link)
	return p.DecodeStatus(answer)
}

func exchange(ctx context.Context, link ctpools.RawConn, question ctsuccession.Command) (ctquery.Answer, error) {
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	if err := link.Send([]ctquery.Query{{Statement: statementOf(question)}}); err != nil {
		return ctquery.Answer{}, err
	}
	return link.Receive()
}

func statementOf(question ctsuccession.Command) ctquery.Statement {
	switch q := question.(type) {
	case ctsuccession.Pause:
		return ctquery.Pause{Term: q.Fence}
	case ctsuccession.Resume:
		return ctquery.Resume{}
	case ctsuccession.StepDown:
		return ctquery.StepDown{Term: q.Fence}
	}
	return ctquery.ReadStatus{}
}

// take takes the link that is kept to a member, or opens one.
func (p *PersistentClient) take(
	ctx context.Context, server ctserver.Announcement,
) (link ctpools.RawConn, kept bool, err error) {
	p.mutex.Lock()
	link, kept = p.links[server.Member]
	delete(p.links, server.Member)
	p.mutex.Unlock()
	if kept {
		return link, true, nil
	}
	link, err = p.Dialer.Dial(ctx, server)
	return link, false, err
}

func (p *PersistentClient) keep(member ctid.Member, link ctpools.RawConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links == nil {
		p.links = make(map[ctid.Member]ctpools.RawConn)
	}
	if earlier, ok := p.links[member]; ok {
		earlier.Close()
	}
	p.links[member] = link
}
