package ctserver

import (
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// ReservedConnections is the number of connections to each member that are reserved
// for status queries.
const ReservedConnections = 2

// Announcement describes a backend server, as the backend server itself reports it.
type Announcement struct {
	Group         ctid.Group         `json:"group" cbor:"group"`
	Member        ctid.Member        `json:"member" cbor:"member"`
	FailureDomain ctid.FailureDomain `json:"failure_domain" cbor:"failure_domain"`
	// Address is the listener of the PostgreSQL protocol.
	Address     netip.AddrPort   `json:"address" cbor:"address"`
	Incarnation ctid.Incarnation `json:"incarnation" cbor:"incarnation"`
	Role        Role             `json:"role" cbor:"role"`
	State       State            `json:"state" cbor:"state"`
	Term        ctposition.Term  `json:"term" cbor:"term"`
	// Sequence counts the announcements of the incarnation. It reveals announcements
	// that arrive out of order. It is 0 if the member does not count its announcements.
	// In the view it is always 0.
	Sequence uint64 `json:"sequence,omitempty" cbor:"sequence,omitempty"`
	// Slots is the number of statements that the member runs at once.
	Slots int `json:"slots" cbor:"slots"`
	// Connections is the number of connections that the member accepts.
	Connections int `json:"connections" cbor:"connections"`
}

// The highest numbers that an announcement may state.
const (
	MaxSlots       = 1 << 16
	MaxConnections = 1 << 20
)

// Check returns an error of kind cterror.Invalid for the first missing or
// contradictory field.
func (a *Announcement) Check() error {
	if err := a.checkNames(); err != nil {
		return err
	}
	if err := a.checkAddress(); err != nil {
		return err
	}
	switch {
	case a.Incarnation == 0:
		return invalidError("incarnation is 0", "give a number that grows with each start of the backend server")
	case a.Role != RolePrimary && a.Role != RoleReplica:
		return invalidError("role is missing", "give primary or replica")
	case a.State != StateReady && a.State != StateLeaving:
		return invalidError("state is missing", "give ready or leaving")
	case a.Term == 0:
		return invalidError("term is 0", "give the term that the member is in, from 1")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return invalidError("slots is not from 1 to 65536", "give the number of statements that the member runs at once")
	case a.Connections > MaxConnections:
		return invalidError("connections is above 1048576", "give the number of connections that the member accepts")
	case a.Connections < a.Slots+ReservedConnections:
		return invalidError("connections is below slots plus 2", "allow 2 connections more than slots, for status queries")
	}
	return nil
}

// CallerConnections returns the number of connections that the transactions of
// callers may use.
func (a *Announcement) CallerConnections() int {
	return a.Connections - ReservedConnections
}

// checkAddress checks that the address is one host's and means the same on every other host.
// A zone is text that only has a meaning on the sender's host.
func (a *Announcement) checkAddress() error {
	ip := a.Address.Addr()
	switch {
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return invalidError("address is missing", "give the IP number and port of the PostgreSQL listener")
	case ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast():
		return invalidError("address is not that of one host", "give its IP number without a zone")
	}
	return nil
}

func (a *Announcement) checkNames() error {
	if err := a.Group.Check(); err != nil {
		return err
	}
	if err := a.Member.Check(); err != nil {
		return err
	}
	return a.FailureDomain.Check()
}

// Supersedes reports whether the announcement replaces the earlier one of the same
// member: it has a higher incarnation or, in the same incarnation, a higher
// sequence. Without a sequence it replaces any of its own incarnation.
func (a *Announcement) Supersedes(earlier *Announcement) bool {
	if a.Incarnation != earlier.Incarnation {
		return a.Incarnation > earlier.Incarnation
	}
	return a.Sequence == 0 || a.Sequence > earlier.Sequence
}

func invalidError(message string, remedy string) error {
	return cterror.New(cterror.Invalid, "announcement: "+message, remedy)
}
