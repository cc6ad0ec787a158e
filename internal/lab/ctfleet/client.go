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

const (
	// retryDelay is the pause between two attempts to apply the initial configuration.
	// WaitUntil checks its condition five times as often.
	retryDelay = 50 * time.Millisecond
	// requestTimeout bounds one HTTP request to a process.
	requestTimeout = 2 * time.Second
	// waitTimeout bounds WaitUntil. It is far longer than any expected wait, and only
	// ends runs that would otherwise never end.
	waitTimeout = 60 * time.Second
)

// RunCommand runs the program cherviltrestle with the given arguments. It returns its
// standard output and standard error, also when the command fails.
func (f *Fleet) RunCommand(arguments ...string) (string, error) {
	output, err := exec.Command(filepath.Join(f.BinFolder, "cherviltrestle"), arguments...).CombinedOutput()
	return string(output), err
}

// HeldMembers returns a proxy's reports on the members that it is the holder of.
func (f *Fleet) HeldMembers(proxy *Process) ([]ctview.MemberReport, error) {
	var held []ctview.MemberReport
	return held, get(proxy, "/v1/held", &held)
}

// View returns the whole current view of a proxy.
func (f *Fleet) View(proxy *Process) (*ctview.Delta, error) {
	view := &ctview.Delta{}
	return view, get(proxy, "/v1/view", view)
}

// Leader returns the leader of control. It queries the control processes in turn, and
// returns the first leader that one of them reports, or an error if none does.
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
	return nil, errors.New("no control process reports a leader")
}

// Counters returns the counters of a member's stand-in server.
func (f *Fleet) Counters(member *Process) (ctstandin.Counters, error) {
	var counters ctstandin.Counters
	return counters, get(member, "/v1/counters", &counters)
}

// Log returns a member's write-ahead log.
func (f *Fleet) Log(member *Process) ([]ctwal.Entry, error) {
	var entries []ctwal.Entry
	return entries, get(member, "/v1/log", &entries)
}

// SetFaults replaces the faults that a member's stand-in server injects.
func (f *Fleet) SetFaults(member *Process, faults ctstandin.Faults) error {
	return call(member, http.MethodPost, "/v1/faults", faults, nil)
}

// ApplyConfig applies a configuration in which reads may be the given number of seconds
// old, and returns its revision. The id names the change, and base is the revision that
// it replaces. It tries the next control process if one is unavailable.
func (f *Fleet) ApplyConfig(id string, base ctid.Revision, seconds int) (ctid.Revision, error) {
	change := ctconfig.Change{ID: ctid.Change(id), Base: base, Author: "lab"}
	change.Document.Defaults.Reads.MaxAge = ctconfig.Duration(time.Duration(seconds) * time.Second)
	for _, g := range f.Shape.Groups {
		change.Document.Groups = append(change.Document.Groups, ctconfig.Group{
			Name: ctid.Group(g), Size: len(f.Shape.FailureDomains),
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

// get queries a process over HTTP and decodes the response.
func get(p *Process, path string, response any) error {
	return call(p, http.MethodGet, path, nil, response)
}

// call sends an HTTP request with a JSON body, or none if body is nil, and decodes
// the response, unless response is nil.
func call(p *Process, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return cthttp.Call(ctx, http.DefaultClient, method, "http://"+p.HTTP.String()+path, body, response)
}

// WaitUntil polls until condition returns true. It returns an error that names the goal
// if that takes longer than waitTimeout.
func WaitUntil(goal string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.New("timed out waiting for: " + goal)
		}
		time.Sleep(retryDelay / 5)
	}
	return nil
}

// AwaitReady waits until CaughtUp reports true.
func (f *Fleet) AwaitReady() error {
	return WaitUntil("every member is held and has caught up with its primary", f.CaughtUp)
}

// AwaitHeld waits until every running member has a holder that serves requests on it.
// Replicas may still lag.
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

// CaughtUp reports whether every running member has a holder that serves requests on
// it, and every served member has applied the whole log of its primary.
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

// servedMembers returns the holders' reports on all members that are up, that serve
// requests and that are not draining. It returns false if a running proxy did not
// answer.
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

// groupCaughtUp reports the same as CaughtUp for one group. held contains the served
// members. The primary with the newest term counts, since an old primary may still
// report itself as one.
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

// Primary returns the group's primary according to a proxy's view. It returns nil if
// the proxy does not answer, no primary is known or a change of primary is in progress.
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
