package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Report is the heartbeat that a proxy sends to control.
type Report struct {
	ctview.Report
}

// ReportReply answers Report and Watch.
type ReportReply struct {
	ctview.Reply
	// CompressedDelta is the compressed encoding of a large delta, and Delta is nil then.
	// CompressedConfig is the compressed encoding of a delta that contains only its
	// configuration, which CompressedDelta then leaves out. Both are empty otherwise.
	CompressedDelta  []byte `cbor:"packed,omitempty"`
	CompressedConfig []byte `cbor:"packed_config,omitempty"`
}

// Position requests the latest point of the group's log from the primary's holder.
type Position struct {
	Group ctid.Group `cbor:"group"`
	// Interval is the interval at which the sender requests the position. The holder
	// chooses by it how often to sample the primary.
	Interval time.Duration `cbor:"every,omitempty"`
}

// PositionReply answers Position. Point is zero if the replying proxy has no valid lease
// for the group or no sample of the primary in its term.
type PositionReply struct {
	Group ctid.Group       `cbor:"group"`
	Point ctposition.Point `cbor:"point"`
	// SampleAge is the time between the last sample of the primary and this reply,
	// measured by the clock of the primary's holder.
	SampleAge time.Duration `cbor:"ago,omitempty"`
}

// AwaitReceived requests that a replica's holder replies with Received once the replica
// has received the log up to a point.
type AwaitReceived struct {
	Member ctid.Member      `cbor:"member"`
	Point  ctposition.Point `cbor:"point"`
}

// Received answers AwaitReceived with the point up to which the replica has received the
// log. Point is before the requested one if the holder's wait timed out, and zero if the
// replying proxy is not the replica's holder.
type Received struct {
	Member ctid.Member      `cbor:"member"`
	Point  ctposition.Point `cbor:"point"`
}

// Watch requests that control replies as soon as it has a newer view than Version.
type Watch struct {
	Version ctview.Version `cbor:"version"`
	// Revision is the revision of the configuration in the sender's view.
	Revision ctid.Revision `cbor:"revision,omitempty"`
	// Mirror reports that the sender is a control process, which answers the watches of its
	// proxies from the view.
	Mirror bool `cbor:"mirror,omitempty"`
}

// ReportTimeout is how long a proxy waits for the reply to a Report before it gives up the stream.
// Control neither handles nor forwards a report for longer.
const ReportTimeout = 700 * time.Millisecond

// Fetch requests the view of another proxy. A proxy without a view sends it while it
// can't reach control.
type Fetch struct {
	// Version is the version of the sender's view, or 0 if it has none.
	Version ctview.Version `cbor:"version"`
}

// FetchReply answers Fetch.
type FetchReply struct {
	// Delta contains the replying proxy's whole view, or is nil if that view is not newer.
	Delta *ctview.Delta `cbor:"delta,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first fault of the delta.
func (f *FetchReply) Check() error {
	if f.Delta == nil {
		return nil
	}
	return f.Delta.Check()
}

// ErrorReply answers a frame that can't be served.
type ErrorReply struct {
	// Kind is the text form of a cterror.Kind.
	Kind    string `cbor:"kind"`
	Message string `cbor:"message"`
	Remedy  string `cbor:"remedy"`
}

// Check returns an error of kind cterror.Invalid if the group's name is invalid.
func (p *Position) Check() error {
	return p.Group.Check()
}

// Check returns an error of kind cterror.Invalid if the group's name is invalid.
func (r *PositionReply) Check() error {
	return r.Group.Check()
}

// Check returns an error of kind cterror.Invalid if the member's name is invalid.
func (a *AwaitReceived) Check() error {
	return a.Member.Check()
}

// Check returns an error of kind cterror.Invalid if the member's name is invalid.
func (r *Received) Check() error {
	return r.Member.Check()
}

func (*Report) kind() kind        { return kindReport }
func (*ReportReply) kind() kind   { return kindReportReply }
func (*Position) kind() kind      { return kindPosition }
func (*PositionReply) kind() kind { return kindPositionReply }
func (*AwaitReceived) kind() kind { return kindAwaitReceived }
func (*Received) kind() kind      { return kindReceived }
func (*Watch) kind() kind         { return kindWatch }
func (*Fetch) kind() kind         { return kindFetch }
func (*FetchReply) kind() kind    { return kindFetchReply }
func (*ErrorReply) kind() kind    { return kindErrorReply }
