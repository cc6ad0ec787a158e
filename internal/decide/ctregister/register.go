package ctregister

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Limits of the history that is retained for operators.
const (
	// maxConfigHistory is how many accepted configurations are retained.
	maxConfigHistory = 1000
	// maxAuditEntries is how many decisions on groups are retained.
	maxAuditEntries = 1000
)

// Register is the permanent state of control. Its zero value is empty and ready for
// use. It is not safe for concurrent use.
type Register struct {
	// ConfigHistory lists the accepted configurations, the newest last.
	ConfigHistory []ctconfig.AcceptedChange `json:"history" cbor:"history"`
	// Groups holds the decided state of the groups.
	Groups map[ctid.Group]ctview.Group `json:"groups" cbor:"groups"`
	// Undeclared holds the unsettled promotions of groups that are not declared any more.
	Undeclared map[ctid.Group][]ctview.Promotion `json:"undeclared,omitempty" cbor:"undeclared,omitempty"`
	// UndeclaredRequesters holds the requesters of these groups.
	UndeclaredRequesters map[ctid.Group]ctview.Requester `json:"requesters,omitempty" cbor:"requesters,omitempty"`
	// AuditLog lists the decisions on groups, the newest last.
	AuditLog []AuditEntry `json:"deeds" cbor:"deeds"`
	// Release is the number of the last accepted release, or 0 before the first.
	// Source is that release as the operator wrote it, compressed.
	Release ctid.Release `json:"release,omitempty" cbor:"release,omitempty"`
	Source  []byte       `json:"source,omitempty" cbor:"source,omitempty"`
	// Members are the members that a leader last recorded. With them, a new leader
	// can start before all members have announced themselves to it.
	Members []ctserver.Announcement `json:"members,omitempty" cbor:"members,omitempty"`
	// Silent are members whose logs may have commits that no other log has, although nobody
	// hears them.
	Silent []ctserver.Announcement `json:"silent,omitempty" cbor:"silent,omitempty"`
	// Lost holds the logs that the groups' members have lost in their present terms.
	Lost map[ctid.Group]ctview.LostLogs `json:"lost,omitempty" cbor:"lost,omitempty"`
	// QuotaMarks bounds, by workspace, the sum of the caps that leaders grant to proxies.
	QuotaMarks map[ctid.Workspace]ctid.Operations `json:"quota_marks,omitempty" cbor:"quota_marks,omitempty"`
}

// AuditEntry is a decision on a group that took effect.
type AuditEntry struct {
	At     time.Time    `json:"at" cbor:"at"`
	Reason string       `json:"why" cbor:"why"`
	Group  ctview.Group `json:"group" cbor:"group"`
}

// Apply applies a command and returns its result.
func (r *Register) Apply(command Command) Result {
	switch c := command.(type) {
	case Configure:
		return r.configure(c)
	case Publish:
		return r.publish(c)
	case SetGroup:
		return r.setGroup(c)
	case SetMembers:
		return r.setMembers(c)
	case SetQuotaMarks:
		return r.setQuotaMarks(c)
	case SettlePromotions:
		return r.settlePromotions(c)
	case ReleaseRequester:
		return r.releaseRequester(c)
	}
	return nil
}

// setMembers replaces the members and the lost logs. It leaves out the losses of earlier terms,
// which the leader recorded before it knew of the group's present one.
func (r *Register) setMembers(c SetMembers) Result {
	r.Members, r.Silent = c.Members, c.Silent
	if c.Lost == nil {
		return MembersSet{}
	}
	var result MembersSet
	lost := make(map[ctid.Group]ctview.LostLogs, len(c.Lost))
	for _, logs := range c.Lost {
		if logs.Term != r.Groups[logs.Group].Term {
			continue
		}
		lost[logs.Group] = logs
		if !logs.Equal(r.Lost[logs.Group]) {
			result.Lost = append(result.Lost, logs)
		}
	}
	r.Lost = lost
	return result
}

// setQuotaMarks replaces the map, which a leader may still read.
func (r *Register) setQuotaMarks(c SetQuotaMarks) Result {
	marks := maps.Clone(r.QuotaMarks)
	if marks == nil {
		marks = make(map[ctid.Workspace]ctid.Operations, len(c.Marks))
	}
	maps.Copy(marks, c.Marks)
	r.QuotaMarks = marks
	return QuotaMarksSet{}
}

// CurrentConfig returns the newest accepted configuration, or the zero value before
// the first.
func (r *Register) CurrentConfig() ctconfig.AcceptedChange {
	if len(r.ConfigHistory) == 0 {
		return ctconfig.AcceptedChange{}
	}
	return r.ConfigHistory[len(r.ConfigHistory)-1]
}

func (r *Register) configure(c Configure) Result {
	if earlier, ok := r.findChange(c.Change.ID); ok {
		if sameContent(earlier.Change, c.Change) {
			return Duplicate{Accepted: earlier}
		}
		return Conflict{Winner: earlier, IDReused: true}
	}
	current := r.CurrentConfig()
	if c.Change.Base != current.Revision {
		return Conflict{Winner: r.changeAfter(c.Change.Base)}
	}
	accepted := ctconfig.AcceptedChange{Revision: current.Revision + 1, AcceptedAt: c.At, Change: c.Change}
	r.ConfigHistory = append(r.ConfigHistory, accepted)
	if len(r.ConfigHistory) > maxConfigHistory {
		r.ConfigHistory = r.ConfigHistory[len(r.ConfigHistory)-maxConfigHistory:]
	}
	r.removeUndeclaredGroups(&c.Change.Document)
	return Configured{Accepted: accepted}
}

// publish accepts a release with a higher number than the one in force. It discards
// the history of configurations, because release numbers only rise and an earlier
// release can't come into force again.
func (r *Register) publish(c Publish) Result {
	if r.Release > 0 && c.Release <= r.Release {
		return StaleRelease{Release: r.Release}
	}
	r.Release, r.Source = c.Release, c.Source
	change := ctconfig.Change{
		ID:       ctid.Change(fmt.Sprintf("release-%d", c.Release)),
		Base:     r.CurrentConfig().Revision,
		Author:   "operator",
		Document: c.Document,
	}
	accepted := ctconfig.AcceptedChange{Revision: r.CurrentConfig().Revision + 1, AcceptedAt: c.At, Change: change}
	r.ConfigHistory = []ctconfig.AcceptedChange{accepted}
	r.removeUndeclaredGroups(&c.Document)
	return Configured{Accepted: accepted}
}

// removeUndeclaredGroups deletes the state of groups that the document does not
// declare. Their unsettled promotions and their requesters are retained: the groups may be
// declared again.
func (r *Register) removeUndeclaredGroups(document *ctconfig.Document) {
	for name, group := range r.Groups {
		if _, ok := document.Group(name); ok {
			continue
		}
		delete(r.Groups, name)
		delete(r.Lost, name)
		if !group.Requester.IsZero() {
			if r.UndeclaredRequesters == nil {
				r.UndeclaredRequesters = make(map[ctid.Group]ctview.Requester)
			}
			r.UndeclaredRequesters[name] = group.Requester
		}
		if len(group.Unsettled) == 0 {
			continue
		}
		if r.Undeclared == nil {
			r.Undeclared = make(map[ctid.Group][]ctview.Promotion)
		}
		r.Undeclared[name] = group.Unsettled
	}
}

func (r *Register) findChange(id ctid.Change) (ctconfig.AcceptedChange, bool) {
	for _, a := range r.ConfigHistory {
		if a.Change.ID == id {
			return a, true
		}
	}
	return ctconfig.AcceptedChange{}, false
}

// changeAfter returns the change that was accepted on top of the revision base. If
// that change is no longer retained or does not exist, it returns the newest one.
func (r *Register) changeAfter(base ctid.Revision) ctconfig.AcceptedChange {
	for _, a := range r.ConfigHistory {
		if a.Revision == base+1 {
			return a
		}
	}
	return r.CurrentConfig()
}

func sameContent(a, b ctconfig.Change) bool {
	return a.Base == b.Base && reflect.DeepEqual(a.Document, b.Document)
}

func (r *Register) setGroup(c SetGroup) Result {
	name := c.Group.Name
	document := r.CurrentConfig().Change.Document
	if _, declared := document.Group(name); !declared {
		return GroupSet{Name: name}
	}
	current := r.Groups[name]
	if current.Term != c.BaseTerm || current.Fence != c.BaseFence {
		return GroupSet{Name: name}
	}
	if r.Groups == nil {
		r.Groups = make(map[ctid.Group]ctview.Group)
	}
	group := c.Group
	group.Revision = current.Revision + 1
	unsettled := ctview.MergePromotions(current.Unsettled, r.Undeclared[name])
	group.Unsettled = ctview.MergePromotions(unsettled, group.Unsettled)
	if requester := r.requesterOf(name); !requester.IsZero() || group.Requester == c.BaseRequester {
		group.Requester = requester
	}
	delete(r.Undeclared, name)
	delete(r.UndeclaredRequesters, name)
	if group.Term != current.Term {
		delete(r.Lost, name)
	}
	r.Groups[name] = group
	r.AuditLog = append(r.AuditLog, AuditEntry{At: c.At, Reason: c.Reason, Group: group})
	if len(r.AuditLog) > maxAuditEntries {
		r.AuditLog = r.AuditLog[len(r.AuditLog)-maxAuditEntries:]
	}
	return GroupSet{Name: name, Applied: true}
}

func (r *Register) settlePromotions(c SettlePromotions) Result {
	result := PromotionsSettled{Name: c.Group}
	group, ok := r.Groups[c.Group]
	if !ok {
		return result
	}
	var unsettled []ctview.Promotion
	for _, p := range group.Unsettled {
		if slices.Contains(c.Promotions, p) {
			result.Promotions = append(result.Promotions, p)
			continue
		}
		unsettled = append(unsettled, p)
	}
	group.Unsettled = unsettled
	group.Revision++
	r.Groups[c.Group] = group
	return result
}

// requesterOf returns the requester of a group, which may be undeclared.
func (r *Register) requesterOf(name ctid.Group) ctview.Requester {
	if requester := r.Groups[name].Requester; !requester.IsZero() {
		return requester
	}
	return r.UndeclaredRequesters[name]
}

func (r *Register) releaseRequester(c ReleaseRequester) Result {
	result := RequesterReleased{Name: c.Group}
	group, ok := r.Groups[c.Group]
	if !ok || group.Requester != c.Requester {
		return result
	}
	group.Requester = ctview.Requester{}
	group.Revision++
	r.Groups[c.Group] = group
	result.Requester = c.Requester
	return result
}
