package ctframe

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Publish asks control's leader to put a whole configuration into force, under
// the number that the operator gave it.
type Publish struct {
	Release ctid.Release `cbor:"release"`
	// Source is the configuration as the operator wrote it, compressed.
	Source []byte `cbor:"source"`
}

// PublishReply answers Publish: that release or a higher one is in force.
type PublishReply struct{}

// Recall asks control's leader for the release in force.
type Recall struct{}

// RecallReply answers Recall.
type RecallReply struct {
	Release ctid.Release `cbor:"release"`
	// Source is the configuration as the operator wrote it, compressed.
	Source []byte `cbor:"source"`
}

// Heard tells control's leader what a member said of itself.
type Heard struct {
	Announcement ctserver.Announcement `cbor:"announcement"`
	// Deregistered reports that the member has ended. Only its name is set then.
	Deregistered bool `cbor:"gone,omitempty"`
}

// Check reports the first fault of the frame.
func (f *Heard) Check() error {
	if f.Deregistered {
		return f.Announcement.Member.Check()
	}
	return f.Announcement.Check()
}

// Gathered tells control's leader of members that reported without news.
type Gathered struct {
	Announcements []ctserver.Announcement `cbor:"announcements"`
}

// Check reports the first fault of the frame.
func (f *Gathered) Check() error {
	for i := range f.Announcements {
		if err := f.Announcements[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Ack answers Heard and Gathered.
type Ack struct{}

func (*Publish) kind() kind      { return kindPublish }
func (*PublishReply) kind() kind { return kindPublishReply }
func (*Recall) kind() kind       { return kindRecall }
func (*RecallReply) kind() kind  { return kindRecallReply }
func (*Heard) kind() kind        { return kindHeard }
func (*Gathered) kind() kind     { return kindGathered }
func (*Ack) kind() kind          { return kindAck }
