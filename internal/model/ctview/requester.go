package ctview

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctid"

// Requester is the control process that sends a group's promotion requests to the external
// service, as the holder of an epoch. The service does not check epochs, so another process
// may send one only after all requests of this one have ended. The zero value is no process.
type Requester struct {
	Control ctid.Control `json:"control" cbor:"control"`
	// Epoch is the epoch in which the process became the requester. Its requests carry it,
	// also those that a later leader decides on.
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	// Number tells the times apart at which the process became the requester in the epoch.
	Number PromotionNumber `json:"number" cbor:"number"`
}

// IsZero reports whether no process is the requester.
func (r Requester) IsZero() bool {
	return r == Requester{}
}

// Check returns an error of kind cterror.Invalid if the process's name is invalid.
func (r *Requester) Check() error {
	if r.IsZero() {
		return nil
	}
	return r.Control.Check()
}
