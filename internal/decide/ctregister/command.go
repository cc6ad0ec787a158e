package ctregister

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Command is one of Configure, Publish, SetGroup and Remember.
type Command interface {
	isCommand()
}

// Configure replaces the configuration.
type Configure struct {
	Change ctconfig.Change `json:"change" cbor:"change"`
	// At is when the change was asked for, on the clock of control's leader.
	At time.Time `json:"at" cbor:"at"`
}

// SetGroup replaces what is decided on a group, if nothing was decided since.
type SetGroup struct {
	Group ctview.Group `json:"group" cbor:"group"`
	// BaseTerm and Fence are those that the decision was based on.
	BaseTerm  ctposition.Term `json:"term" cbor:"term"`
	BaseFence ctposition.Term `json:"fence" cbor:"fence"`
	// Reason tells the ground of the decision, and At when it was made.
	Reason string    `json:"why" cbor:"why"`
	At     time.Time `json:"at" cbor:"at"`
}

// Publish replaces the configuration by one that the operator numbered, if its
// number is higher than that of the one in force.
type Publish struct {
	Release ctid.Release `json:"release" cbor:"release"`
	// Source is the configuration as the operator wrote it, compressed.
	Source []byte    `json:"source" cbor:"source"`
	At     time.Time `json:"at" cbor:"at"`
	// Document is what Source says. It is decoded again where the command is
	// applied, so that the log holds it once.
	Document ctconfig.Document `json:"-" cbor:"-"`
}

// SetMembers replaces the members that a new leader knows from its start.
type SetMembers struct {
	Members []ctserver.Announcement `json:"members" cbor:"members"`
}

func (Configure) isCommand()  {}
func (Publish) isCommand()    {}
func (SetGroup) isCommand()   {}
func (SetMembers) isCommand() {}

// Result is one of Configured, Resent, Overtaken, Outnumbered, GroupSet and
// Remembered.
type Result interface {
	isResult()
}

// Configured reports that the change is accepted.
type Configured struct {
	Accepted ctconfig.AcceptedChange
}

// Duplicate reports that the change was accepted before, under the same id.
type Duplicate struct {
	Accepted ctconfig.AcceptedChange
}

// Conflict reports that the change is refused, because Winner was accepted first.
type Conflict struct {
	Winner ctconfig.AcceptedChange
	// IDReused reports whether the winner has the change's id and other content.
	IDReused bool
}

// StaleRelease reports that a release of the same or a higher number is in force.
type StaleRelease struct {
	Release ctid.Release
}

// GroupSet tells whether a SetGroup took effect.
type GroupSet struct {
	Name    ctid.Group
	Applied bool
}

// MembersSet reports that the members are noted.
type MembersSet struct{}

func (MembersSet) isResult()   {}
func (Configured) isResult()   {}
func (Duplicate) isResult()    {}
func (Conflict) isResult()     {}
func (StaleRelease) isResult() {}
func (GroupSet) isResult()     {}
