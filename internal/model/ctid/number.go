package ctid

import (
	"fmt"
	"strconv"
)

// Session numbers a caller's session. It is unique within one proxy process.
type Session uint64

// Sequence numbers the requests of one session, from 1.
type Sequence uint64

// Incarnation numbers the runs of a process. A later run of the same process
// has a higher incarnation.
type Incarnation uint64

// Revision numbers the accepted configurations, from 1. Zero stands for no
// configuration.
type Revision uint64

// Request identifies one request of a caller in the whole fleet.
type Request struct {
	Proxy       Proxy       `json:"proxy,omitempty" cbor:"proxy,omitempty"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	Session     Session     `json:"session" cbor:"session"`
	Sequence    Sequence    `json:"sequence" cbor:"sequence"`
}

// String renders the request as proxy/incarnation/session/sequence, the form
// that logs and error details show.
func (r Request) String() string {
	return fmt.Sprintf("%s/%x/%d/%d", r.Proxy, uint64(r.Incarnation), r.Session, r.Sequence)
}

// String renders the revision in decimal.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}
