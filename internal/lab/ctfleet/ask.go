package ctfleet

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// The times of questions to the fleet.
const (
	retryDelay     = 50 * time.Millisecond
	requestTimeout = 2 * time.Second
	// waitTimeout bounds a wait for the fleet to reach a state. It only ends runs
	// that would never end.
	waitTimeout = 60 * time.Second
)

// RunCommand runs the operators' command line and returns what it wrote.
func (f *Fleet) RunCommand(arguments ...string) (string, error) {
	output, err := exec.Command(filepath.Join(f.BinFolder, "cherviltrestle"), arguments...).CombinedOutput()
	return string(output), err
}

// HeldMembers returns what a proxy tells of the members that it holds.
func (f *Fleet) HeldMembers(proxy *Process) ([]ctview.MemberReport, error) {
	var held []ctview.MemberReport
	return held, get(proxy, "/v1/held", &held)
}

// View returns the view of a proxy.
func (f *Fleet) View(proxy *Process) (*ctview.Delta, error) {
	view := &ctview.Delta{}
	return view, get(proxy, "/v1/view", view)
}

// Leader returns the process that leads control.
func (f *Fleet) Leader() (*Process, error) {
	for _, c := range f.Controls {
		var status struct {
			Leader string `json:"leader"`
		}
		if err := get(c, "/v1/status", &status); err != nil {
			continue
		}
		for _, l := range f.Controls {
			if l.Name == status.Leader {
				return l, nil
			}
		}
	}
	return nil, errors.New("no control process leads")
}

// Counters returns what a member has counted.
func (f *Fleet) Counters(member *Process) (ctstandin.Counters, error) {
	var counters ctstandin.Counters
	return counters, get(member, "/v1/counters", &counters)
}

// Log returns a member's log.
func (f *Fleet) Log(member *Process) ([]ctwal.Entry, error) {
	var entries []ctwal.Entry
	return entries, get(member, "/v1/log", &entries)
}

// SetFaults sets a member's faults.
func (f *Fleet) SetFaults(member *Process, faults ctstandin.Faults) error {
	return call(member, http.MethodPost, "/v1/faults", faults, nil)
}

// ApplyConfig applies a configuration that differs from others by the age of reads,
// in seconds, and returns its revision.
func (f *Fleet) ApplyConfig(id string, base ctid.Revision, seconds int) (ctid.Revision, error) {
	change := ctconfig.Change{ID: ctid.Change(id), Base: base, Author: "lab"}
	change.Document.Defaults.Reads.MaxAge = ctconfig.Duration(time.Duration(seconds) * time.Second)
	for _, g := range f.Shape.Groups {
		change.Document.Groups = append(change.Document.Groups, ctconfig.Group{
			Name: ctid.Group(g), Size: len(f.Shape.Sites),
		})
	}
	var accepted ctconfig.AcceptedChange
	var err error
	for _, c := range f.Controls {
		err = call(c, http.MethodPost, "/v1/config", change, &accepted)
		if cterror.KindOf(err) != cterror.Unavailable {
			break
		}
	}
	return accepted.Revision, err
}

func get(p *Process, path string, response any) error {
	return call(p, http.MethodGet, path, nil, response)
}

func call(p *Process, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return cthttp.Call(ctx, http.DefaultClient, method, "http://"+p.HTTP.String()+path, body, response)
}

// WaitUntil waits until condition holds. It returns an error where that takes
// longer than any run should.
func WaitUntil(goal string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.New("never reached: " + goal)
		}
		time.Sleep(retryDelay / 5)
	}
	return nil
}

// AwaitReady waits until every member of every group is held and every replica
// holds all that its primary does.
func (f *Fleet) AwaitReady() error {
	return WaitUntil("every member is held and level with its primary", f.CaughtUp)
}

// AwaitHeld waits until every member of every group is held by a proxy that
// serves it.
func (f *Fleet) AwaitHeld() error {
	return WaitUntil("every member is held", func() bool {
		held, ok := f.servedMembers()
		if !ok {
			return false
		}
		for _, p := range f.Processes() {
			_, found := held[ctid.Member(p.Name)]
			if p.program != f.programPath("ctlab") || !p.Running() {
				continue
			}
			if !found {
				return false
			}
		}
		return true
	})
}

// CaughtUp reports whether every member is held and holds all that its primary
// does.
func (f *Fleet) CaughtUp() bool {
	held, ok := f.servedMembers()
	if !ok {
		return false
	}
	for _, group := range f.Shape.Groups {
		if !f.groupCaughtUp(group, held) {
			return false
		}
	}
	return true
}

// servedMembers returns the members that are held and served, and whether all
// running proxies answered.
func (f *Fleet) servedMembers() (map[ctid.Member]ctview.MemberReport, bool) {
	held := make(map[ctid.Member]ctview.MemberReport)
	for _, p := range f.Proxies {
		if !p.Running() {
			continue
		}
		reports, err := f.HeldMembers(p)
		if err != nil {
			return nil, false
		}
		for _, h := range reports {
			if !h.Draining && h.Health == ctview.HealthUp && h.Serving {
				held[h.Member] = h
			}
		}
	}
	return held, true
}

func (f *Fleet) groupCaughtUp(group string, held map[ctid.Member]ctview.MemberReport) bool {
	var primary ctview.MemberReport
	for _, m := range f.Members[group] {
		h, ok := held[ctid.Member(m.Name)]
		if !ok && m.Running() {
			return false
		}
		if h.Status.Role == ctserver.RolePrimary && h.Status.Received.Term > primary.Status.Received.Term {
			primary = h
		}
	}
	for _, m := range f.Members[group] {
		h, ok := held[ctid.Member(m.Name)]
		if ok && (primary.Member == "" || h.Status.Applied != primary.Status.Received) {
			return false
		}
	}
	return true
}

// Primary returns the member that a proxy takes for the group's primary, or nil.
func (f *Fleet) Primary(proxy *Process, group string) *Process {
	view, err := f.View(proxy)
	if err != nil {
		return nil
	}
	for _, g := range view.Groups {
		if string(g.Name) != group || g.Fence > g.Term {
			continue
		}
		for _, m := range f.Members[group] {
			if m.Name == string(g.Primary) {
				return m
			}
		}
	}
	return nil
}
