package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Retry answers a Report or a Watch that control can't answer now. The sender keeps the stream
// and sends another one after a time, to which it adds a random part.
type Retry struct {
	After time.Duration `cbor:"after"`
	// Leaderless reports that the process has no reply from a leader. Otherwise it has too
	// much to do.
	Leaderless bool `cbor:"leaderless,omitempty"`
	// Unjoined reports that the process has neither a leader nor a log, so that another one has to
	// be asked. Leaderless is set, too.
	Unjoined bool `cbor:"unjoined,omitempty"`
	// Controls lists control processes that may have a leader, if this one has none.
	Controls []ctid.Control `cbor:"controls,omitempty"`
}

func (*Retry) kind() kind { return kindRetry }
