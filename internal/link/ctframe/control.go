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

// Accepted answers Publish: that release or a higher one is in force.
type Accepted struct{}

// Recall asks control's leader for the release in force.
type Recall struct{}

// Recalled answers Recall.
type Recalled struct {
	Release ctid.Release `cbor:"release"`
	// Source is the configuration as the operator wrote it, compressed.
	Source []byte `cbor:"source"`
}

// Heard tells control's leader what a member said of itself.
type Heard struct {
	Announcement ctserver.Announcement `cbor:"announcement"`
	// Gone reports that the member has ended. Only its name is set then.
	Gone bool `cbor:"gone,omitempty"`
}

// Check reports the first fault of the frame.
func (f *Heard) Check() error {
	if f.Gone {
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

// Noted answers Heard and Gathered.
type Noted struct{}

func (*Publish) kind() kind  { return kindPublish }
func (*Accepted) kind() kind { return kindAccepted }
func (*Recall) kind() kind   { return kindRecall }
func (*Recalled) kind() kind { return kindRecalled }
func (*Heard) kind() kind    { return kindHeard }
func (*Gathered) kind() kind { return kindGathered }
func (*Noted) kind() kind    { return kindNoted }
