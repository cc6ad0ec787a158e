package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Report is a proxy's heartbeat to control.
type Report struct {
	ctview.Report
}

// ReportReply is control's answer to a heartbeat.
type ReportReply struct {
	ctview.Reply
	// CompressedDelta is the delta in compressed form, where it is heavy; without its
	// configuration where PackedConfig has that.
	CompressedDelta  []byte `cbor:"packed,omitempty"`
	CompressedConfig []byte `cbor:"packed_config,omitempty"`
}

// Position asks a primary's holder for the group's position.
type Position struct {
	Group ctid.Group `cbor:"group"`
	// Interval is how often the asker asks.
	Interval time.Duration `cbor:"every,omitempty"`
}

// PositionReply answers Position. Its point is zero where the holder has no valid lease.
type PositionReply struct {
	Group ctid.Group       `cbor:"group"`
	Point ctposition.Point `cbor:"point"`
	// SampleAge is how long before the answer the member was asked, on the clock of
	// the primary's holder.
	SampleAge time.Duration `cbor:"ago,omitempty"`
}

// AwaitReceived asks a replica's holder to tell when the replica has received the log
// up to a point.
type AwaitReceived struct {
	Member ctid.Member      `cbor:"member"`
	Point  ctposition.Point `cbor:"point"`
}

// Received tells up to which point a replica holds the log.
type Received struct {
	Member ctid.Member      `cbor:"member"`
	Point  ctposition.Point `cbor:"point"`
}

// Watch asks control to answer as soon as there is a view newer than Version.
type Watch struct {
	Version ctview.Version `cbor:"version"`
	// Revision is the configuration that the asker has.
	Revision ctid.Revision `cbor:"revision,omitempty"`
}

// Fetch asks a peer for its view, where control can't be reached.
type Fetch struct {
	Version ctview.Version `cbor:"version"`
}

// FetchReply answers Fetch.
type FetchReply struct {
	Delta *ctview.Delta `cbor:"delta,omitempty"`
}

// Check reports the first fault of the frame.
func (f *FetchReply) Check() error {
	if f.Delta == nil {
		return nil
	}
	return f.Delta.Check()
}

// ErrorReply answers a frame that can't be served.
type ErrorReply struct {
	Kind    string `cbor:"kind"`
	Message string `cbor:"message"`
	Remedy  string `cbor:"remedy"`
}

// Check reports the first fault of the frame.
func (p *Position) Check() error {
	return p.Group.Check()
}

// Check reports the first fault of the frame.
func (r *PositionReply) Check() error {
	return r.Group.Check()
}

// Check reports the first fault of the frame.
func (a *AwaitReceived) Check() error {
	return a.Member.Check()
}

// Check reports the first fault of the frame.
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
