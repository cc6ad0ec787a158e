package ctregister

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Command is one of Configure, Publish, SetGroup, SetMembers, SetQuotaMarks, SettlePromotions
// and ReleaseRequester.
type Command interface {
	isCommand()
}

// Configure replaces the configuration with the one in Change, if no other change
// was accepted since its base revision.
type Configure struct {
	Change ctconfig.Change `json:"change" cbor:"change"`
	// At is when the change was requested, on the clock of control's leader.
	At time.Time `json:"at" cbor:"at"`
}

// SetGroup replaces the decided state of a group, if that state still has the term
// and the fence that the decision was based on. It adds to the unsettled promotions and
// removes none of them. It makes a process the requester only if there is none.
type SetGroup struct {
	Group ctview.Group `json:"group" cbor:"group"`
	// BaseTerm and BaseFence are the group's term and fence when the decision was
	// made.
	BaseTerm  ctposition.Term `json:"term" cbor:"term"`
	BaseFence ctposition.Term `json:"fence" cbor:"fence"`
	// BaseRequester is the group's requester then. Group has another one if the decision
	// makes a process the requester.
	BaseRequester ctview.Requester `json:"requester,omitzero" cbor:"requester,omitzero"`
	// Reason says why the decision was made, and At when.
	Reason string    `json:"why" cbor:"why"`
	At     time.Time `json:"at" cbor:"at"`
}

// Publish replaces the configuration with a release, which is a configuration that
// the operator numbered. It takes effect only if its number is higher than that of
// the release in force.
type Publish struct {
	Release ctid.Release `json:"release" cbor:"release"`
	// Source is the configuration as the operator wrote it, compressed.
	Source []byte    `json:"source" cbor:"source"`
	At     time.Time `json:"at" cbor:"at"`
	// Document is the decoded Source. It is not encoded with the command, so that
	// the log holds the configuration once. Source is decoded again when the
	// command is read from the log.
	Document ctconfig.Document `json:"-" cbor:"-"`
}

// SetQuotaMarks sets, for some workspaces, how many operations the caps that leaders grant to
// proxies may sum up to. A new leader, which does not know those caps, relies on it.
type SetQuotaMarks struct {
	Marks map[ctid.Workspace]ctid.Operations `json:"marks" cbor:"marks"`
}

// SetMembers replaces the members that a new leader starts with. A member's log is either among
// them or among the lost ones: one command replaces both.
type SetMembers struct {
	Members []ctserver.Announcement `json:"members" cbor:"members"`
	// Silent are members that are neither heard nor known to be gone.
	Silent []ctserver.Announcement `json:"silent,omitempty" cbor:"silent,omitempty"`
	// Lost replaces the groups' lost logs. It is nil, not empty, in a command of a version
	// that does not record them, which then stay as they are.
	Lost []ctview.LostLogs `json:"lost" cbor:"lost"`
}

// SettlePromotions removes promotions from a group's unsettled ones, because none of them
// can take effect any more.
type SettlePromotions struct {
	Group      ctid.Group         `json:"group" cbor:"group"`
	Promotions []ctview.Promotion `json:"promotions" cbor:"promotions"`
	// Reason says why none can take effect.
	Reason string `json:"why" cbor:"why"`
}

// ReleaseRequester makes a group have no requester, because no request of the present one can
// reach the service any more.
type ReleaseRequester struct {
	Group     ctid.Group       `json:"group" cbor:"group"`
	Requester ctview.Requester `json:"requester" cbor:"requester"`
	// Reason says why none can.
	Reason string `json:"why" cbor:"why"`
}

func (ReleaseRequester) isCommand() {}
func (Configure) isCommand()        {}
func (Publish) isCommand()          {}
func (SetGroup) isCommand()         {}
func (SetMembers) isCommand()       {}
func (SetQuotaMarks) isCommand()    {}
func (SettlePromotions) isCommand() {}

// Result is one of Configured, Duplicate, Conflict, StaleRelease, GroupSet, MembersSet,
// PromotionsSettled and RequesterReleased.
type Result interface {
	isResult()
}

// Configured reports that a Configure or a Publish was accepted.
type Configured struct {
	Accepted ctconfig.AcceptedChange
}

// Duplicate reports that the same change was accepted before, under the same id.
type Duplicate struct {
	Accepted ctconfig.AcceptedChange
}

// Conflict reports that the change was rejected because Winner was accepted first.
type Conflict struct {
	Winner ctconfig.AcceptedChange
	// IDReused reports whether the winner has the same id as the rejected change but
	// different content.
	IDReused bool
}

// StaleRelease reports that a Publish was rejected because Release, with the same or
// a higher number, is in force.
type StaleRelease struct {
	Release ctid.Release
}

// GroupSet reports whether a SetGroup took effect.
type GroupSet struct {
	Name    ctid.Group
	Applied bool
}

// MembersSet reports that the members were replaced. Lost are the groups' lost logs that differ
// from those before.
type MembersSet struct {
	Lost []ctview.LostLogs
}

// QuotaMarksSet reports that marks were set.
type QuotaMarksSet struct{}

// PromotionsSettled reports that promotions are not among the group's unsettled ones any
// more. Promotions are those that were until then.
type PromotionsSettled struct {
	Name       ctid.Group
	Promotions []ctview.Promotion
}

// RequesterReleased reports that a group has no requester any more. Requester is the one
// that it had, or the zero value if the command had no effect.
type RequesterReleased struct {
	Name      ctid.Group
	Requester ctview.Requester
}

func (RequesterReleased) isResult() {}
func (PromotionsSettled) isResult() {}
func (MembersSet) isResult()        {}
func (QuotaMarksSet) isResult()     {}
func (Configured) isResult()        {}
func (Duplicate) isResult()         {}
func (Conflict) isResult()          {}
func (StaleRelease) isResult()      {}
func (GroupSet) isResult()          {}
