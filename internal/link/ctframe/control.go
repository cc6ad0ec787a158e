package ctframe

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Publish requests that control's leader puts a whole configuration into force. The
// operator assigned its release number.
type Publish struct {
	Release ctid.Release `cbor:"release"`
	// Source is the operator's source text of the configuration, compressed.
	Source []byte `cbor:"source"`
}

// PublishReply answers Publish. It confirms that the release, or a higher one, is in
// force.
type PublishReply struct{}

// Recall requests the release in force from control's leader.
type Recall struct{}

// RecallReply answers Recall. Release is 0 if no release was published yet.
type RecallReply struct {
	Release ctid.Release `cbor:"release"`
	// Source is the operator's source text of the configuration, compressed.
	Source []byte `cbor:"source"`
}

// Heard forwards a member's announcement to control's leader, or reports to it that the
// member has stopped.
type Heard struct {
	Announcement ctserver.Announcement `cbor:"announcement"`
	// Deregistered reports that the member has stopped. Announcement then contains only
	// the member's name.
	Deregistered bool `cbor:"gone,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first fault of the announcement.
func (f *Heard) Check() error {
	if f.Deregistered {
		return f.Announcement.Member.Check()
	}
	return f.Announcement.Check()
}

// Gathered forwards a batch of announcements to control's leader.
type Gathered struct {
	Announcements []ctserver.Announcement `cbor:"announcements"`
}

// Check returns an error of kind cterror.Invalid for the first fault of an announcement.
func (f *Gathered) Check() error {
	for i := range f.Announcements {
		if err := f.Announcements[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Settled reports to control's leader for which promotions of a group no request can take
// effect any more, and which requester has none on its way and sends none any more.
type Settled struct {
	Group ctid.Group `cbor:"group"`
	// Released is the sender of the frame as the requester, or the zero value.
	Released ctview.Requester `cbor:"released,omitzero"`
	// Mark is that of the leader's last reply on the group. Released counts only with the
	// present one.
	Mark ctsuccession.Mark `cbor:"mark"`
	// Ended lists those of which a request may have taken effect, and Void those without an
	// accepted request.
	Ended []ctview.Promotion `cbor:"ended,omitempty"`
	Void  []ctview.Promotion `cbor:"void,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first invalid name.
func (f *Settled) Check() error {
	if err := f.Group.Check(); err != nil {
		return err
	}
	if err := f.Released.Check(); err != nil {
		return err
	}
	for _, promotions := range [][]ctview.Promotion{f.Ended, f.Void} {
		for i := range promotions {
			if err := promotions[i].Check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// SettledReply answers Settled. It confirms that the leader has applied the promotions, and
// Released if Mark is that of the frame.
type SettledReply struct {
	Mark ctsuccession.Mark `cbor:"mark"`
}

// FetchOffers asks control's leader for the promotion requests that the process is to send.
// Where the reply comes late, the process must send none of them.
type FetchOffers struct {
	Fetch ctpromotion.Fetch `cbor:"fetch"`
}

// Check returns an error of kind cterror.Invalid if the name of the asking process is invalid.
func (f *FetchOffers) Check() error {
	return f.Fetch.Control.Check()
}

// FetchOffersReply answers FetchOffers. Each offer is sent once.
type FetchOffersReply struct {
	Offers []ctpromotion.Offer `cbor:"offers,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first fault of an offer.
func (f *FetchOffersReply) Check() error {
	for i := range f.Offers {
		if err := f.Offers[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// ReportOffer reports the outcome of an offer to the leader that made it.
type ReportOffer struct {
	Offer   ctpromotion.Offer             `cbor:"offer"`
	Outcome ctsuccession.PromotionOutcome `cbor:"outcome"`
	// Unsent reports that nothing of the request was sent.
	Unsent bool `cbor:"unsent,omitempty"`
}

// Check returns an error of kind cterror.Invalid for an invalid offer or an unknown outcome.
func (f *ReportOffer) Check() error {
	if f.Outcome.String() == "" {
		return cterror.New(cterror.Invalid, "the outcome of an offer is unknown", "upgrade this process")
	}
	return f.Offer.Check()
}

// Ack answers Heard, Gathered and ReportOffer. It confirms that the leader has applied them.
type Ack struct{}

func (*Publish) kind() kind      { return kindPublish }
func (*PublishReply) kind() kind { return kindPublishReply }
func (*Recall) kind() kind       { return kindRecall }
func (*RecallReply) kind() kind  { return kindRecallReply }
func (*Heard) kind() kind        { return kindHeard }
func (*Gathered) kind() kind     { return kindGathered }
func (*Settled) kind() kind      { return kindSettled }
func (*Ack) kind() kind          { return kindAck }

func (*FetchOffers) kind() kind      { return kindFetchOffers }
func (*FetchOffersReply) kind() kind { return kindFetchOffersReply }
func (*ReportOffer) kind() kind      { return kindReportOffer }
func (*SettledReply) kind() kind     { return kindSettledReply }
