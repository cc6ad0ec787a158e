package ctconfig

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Change is an operator's request to replace the configuration.
type Change struct {
	ID ctid.Change `json:"id" cbor:"id"`
	// Base is the revision that the operator edited. Control rejects the change if it
	// has accepted another one since.
	Base     ctid.Revision `json:"base" cbor:"base"`
	Author   string        `json:"author" cbor:"author"`
	Document Document      `json:"document" cbor:"document"`
}

// Check returns an error of kind cterror.Invalid for the first invalid field.
func (c *Change) Check() error {
	if err := c.ID.Check(); err != nil {
		return err
	}
	if c.Author == "" {
		return cterror.New(cterror.Invalid, "change has no author", "name the operator with --author")
	}
	return c.Document.Check()
}

// AcceptedChange is a change that control has accepted, with the revision that it
// assigned.
type AcceptedChange struct {
	Revision   ctid.Revision `json:"revision" cbor:"revision"`
	AcceptedAt time.Time     `json:"at" cbor:"at"`
	Change     Change        `json:"change" cbor:"change"`
}
