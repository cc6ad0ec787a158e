package ctview

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// MaxOperations is the highest number of operations in a report or a cap.
const MaxOperations ctid.Operations = 1 << 30

// QuotaDemand is a holder's report on a workspace with a rate limit. A holder is a proxy that
// starts operations of the workspace. It lists all workspaces for which it has a cap; it gives
// up the caps of those that it leaves out.
type QuotaDemand struct {
	_         struct{}       `cbor:",toarray"`
	Workspace ctid.Workspace `json:"workspace" cbor:"workspace"`
	// Cap is how many operations the holder may start in a window.
	Cap ctid.Operations `json:"cap" cbor:"cap"`
	// Started is how many operations started in the last window, and Refused how many were
	// refused since the last report or wait for a cap.
	Started ctid.Operations `json:"started" cbor:"started"`
	Refused ctid.Operations `json:"refused" cbor:"refused"`
}

// Check returns an error of kind cterror.Invalid for an invalid name or number.
func (d *QuotaDemand) Check() error {
	for _, n := range []ctid.Operations{d.Cap, d.Started, d.Refused} {
		if err := checkOperations(d.Workspace, n); err != nil {
			return err
		}
	}
	return d.Workspace.Check()
}

// QuotaGrant renews a holder's caps of the workspaces in its report.
type QuotaGrant struct {
	// TTL is the duration of the caps, counted from the time at which the holder sent its
	// report.
	TTL ctconfig.Duration `json:"time" cbor:"time"`
	// Caps lists the caps that differ from those in the report, and those of workspaces that
	// ask for more than their limit. The others are renewed as they are.
	Caps []QuotaCap `json:"caps,omitempty" cbor:"caps,omitempty"`
}

// QuotaCap is how many operations of a workspace a holder may start in a window.
type QuotaCap struct {
	_         struct{}        `cbor:",toarray"`
	Workspace ctid.Workspace  `json:"workspace" cbor:"workspace"`
	Cap       ctid.Operations `json:"cap" cbor:"cap"`
	// Limited reports that the workspace asks for more than its limit, so that operations
	// over the cap are to be refused.
	Limited bool `json:"limited,omitempty" cbor:"limited"`
}

// Check returns an error of kind cterror.Invalid for the first invalid duration, name or number.
func (g *QuotaGrant) Check() error {
	if g.TTL < 0 {
		return negativeTTLError()
	}
	if len(g.Caps) > maxReportEntries {
		return cterror.New(cterror.Invalid, "reply lists more than 4096 caps", "declare fewer workspaces")
	}
	for i := range g.Caps {
		if err := checkOperations(g.Caps[i].Workspace, g.Caps[i].Cap); err != nil {
			return err
		}
		if err := g.Caps[i].Workspace.Check(); err != nil {
			return err
		}
	}
	return nil
}

// negativeTTLError returns the error for a lease with a negative duration. Its text form
// can't be decoded, so that a process could not pass it on.
func negativeTTLError() error {
	return cterror.New(cterror.Invalid, "a lease has a negative duration", "check that all processes have one version")
}

func checkOperations(workspace ctid.Workspace, n ctid.Operations) error {
	if n < 0 || n > MaxOperations {
		return cterror.Newf(cterror.Invalid, "check that all processes have one version",
			"workspace %q has %d operations", workspace, n)
	}
	return nil
}

// checkQuotas returns an error of kind cterror.Invalid for the first fault of the report's
// demands.
func (r *Report) checkQuotas() error {
	if len(r.Quotas) > maxReportEntries {
		return cterror.New(cterror.Invalid, "report lists more than 4096 workspaces", "declare fewer workspaces")
	}
	for i := range r.Quotas {
		if err := r.Quotas[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
