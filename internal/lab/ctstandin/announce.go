package ctstandin

import (
	"context"
	"net/http"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// announceTimeout is how long the HTTP call of one announcement may last.
const announceTimeout = time.Second

// announcePeriodically sends an announcement every AnnounceInterval until ctx
// ends, to the addresses of AnnounceTo in turn. A failed one is logged and not
// repeated. It returns at once if there are no addresses.
func (s *Server) announcePeriodically(ctx context.Context) {
	if len(s.AnnounceTo) == 0 {
		return
	}
	client := &http.Client{Timeout: announceTimeout}
	var held ctlock.Held
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if !s.currentFaults(&held).NoAnnouncements {
			address := s.AnnounceTo[attempt%len(s.AnnounceTo)]
			err := cthttp.Call(ctx, client, http.MethodPost, "http://"+address.String()+"/v1/announcements",
				s.announcement(&held), nil)
			if err != nil {
				s.Logger.Debug().Str("event", "announcement_failed").Str("error", err.Error()).Send()
			}
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(s.AnnounceInterval):
		}
	}
}

// announcement returns the member's current announcement.
func (s *Server) announcement(held *ctlock.Held) ctserver.Announcement {
	announcement := ctserver.Announcement{
		Group:         s.Group,
		Member:        s.Member,
		FailureDomain: s.FailureDomain,
		Address:       s.Listen,
		State:         ctserver.StateReady,
		Slots:         s.Slots,
		Connections:   s.Connections,
	}
	s.database.With(held, func(d *database) {
		announcement.Incarnation = d.incarnation
		announcement.Role = d.role
		announcement.Term = ctposition.Term(d.term)
		if d.faults.Leaving {
			announcement.State = ctserver.StateLeaving
		}
	})
	return announcement
}
