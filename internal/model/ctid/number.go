package ctid

import (
	"fmt"
	"strconv"
)

// Session is the number of a caller's session. It is unique within one run of a
// proxy process.
type Session uint64

// Sequence is the number of a request within its session, from 1.
type Sequence uint64

// Incarnation identifies one run of a process. A later run of the same process
// has a higher incarnation.
type Incarnation uint64

// Connection is the number of a connection to a member. It is unique within one run of
// a process.
type Connection uint64

// Revision is the number that control assigns to an accepted configuration, from
// 1. Zero stands for no configuration.
type Revision uint64

// Operations is a number of operations of a workspace. An operation is a transaction, or a
// statement outside of one.
type Operations int64

// Request identifies a caller's request. It is unique in the whole fleet.
type Request struct {
	Proxy       Proxy       `json:"proxy,omitempty" cbor:"proxy,omitempty"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	Session     Session     `json:"session" cbor:"session"`
	Sequence    Sequence    `json:"sequence" cbor:"sequence"`
}

// String formats the request as proxy/incarnation/session/sequence, with the
// incarnation in hexadecimal. Logs and error details use this form.
func (r Request) String() string {
	return fmt.Sprintf("%s/%x/%d/%d", r.Proxy, uint64(r.Incarnation), r.Session, r.Sequence)
}

// String formats the revision in decimal.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}
