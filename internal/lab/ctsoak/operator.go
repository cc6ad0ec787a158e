package ctsoak

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// Timeouts and intervals of configuration changes and their checks.
const (
	// applyTimeout is how long processes may take to apply an acknowledged configuration.
	applyTimeout = 4 * time.Second
	// regressGrace is how long a proxy that has served a release may still serve an
	// older one. regressGraceAfterFault is the same after a recent fault or planned stop.
	regressGrace           = 250 * time.Millisecond
	regressGraceAfterFault = 8 * regressGrace
	// callTimeout is how long one call to control or a proxy may take.
	callTimeout = time.Second
	// changeIntervalScale is the scale of the random pauses between two changes.
	changeIntervalScale = 1500 * time.Millisecond
	// releaseProbeInterval is the pause between two probes of proxies for their release.
	releaseProbeInterval = 100 * time.Millisecond
	// acknowledgeTimeout is how long control may take to acknowledge a configuration
	// while no fault is in progress.
	acknowledgeTimeout = 6 * time.Second
)

// renderedTimeout is statementTimeout in the encoded routes.
const renderedTimeout = `"timeout_ms":2000`

// releasesPerOther is in how many releases there is one after which other content is sent under
// its number.
const releasesPerOther = 4

// operator publishes configurations, reads them back from control and checks which
// release the proxies use. Each release has a database of its own. A proxy that accepts a
// session for this database uses that release.
type operator struct {
	fleet  *Fleet
	client platform.ExternalClient

	mutex  sync.Mutex
	random *rand.Rand
	// sent has the body of each release, and acknowledged when control acknowledged it.
	sent         map[ctid.Release][]byte
	acknowledged map[ctid.Release]time.Time
	// newest is the newest release number that was assigned.
	newest ctid.Release
	shown  map[processStart]shownRelease
}

// processStart identifies one start of a proxy's process.
type processStart struct {
	host *host
	// start is the host's count of starts.
	start int
}

// shownRelease is the newest release that a proxy has served, and when it was first seen.
type shownRelease struct {
	release ctid.Release
	at      time.Time
}

func newOperator(fleet *Fleet, random *rand.Rand) *operator {
	return &operator{
		fleet: fleet, random: random, sent: make(map[ctid.Release][]byte),
		acknowledged: make(map[ctid.Release]time.Time), shown: make(map[processStart]shownRelease),
	}
}

// releaseDatabase returns the name of the database that only this release has.
func releaseDatabase(release ctid.Release) ctid.Database {
	return ctid.Database(fmt.Sprintf("release-%d", release))
}

// otherDatabase returns the name of the database that only the other content of a release has.
func otherDatabase(release ctid.Release) ctid.Database {
	return ctid.Database(fmt.Sprintf("other-%d", release))
}

// render returns the encoded configuration of a release.
func (o *operator) render(release ctid.Release) ([]byte, error) {
	var document ctconfig.Document
	const transactionTimeout = 3 * time.Second
	document.Defaults.Sessions.TransactionTimeout = ctconfig.Duration(transactionTimeout)
	addRoute := func(name ctid.Database, group ctid.Group, f freshness) {
		document.Routes = append(document.Routes, ctconfig.Route{
			Name: "r-" + string(name), Database: name, Group: group, Freshness: configFreshness[f],
			MaxStaleness:     ctconfig.Duration(f.maxStaleness()),
			StatementTimeout: ctconfig.Duration(statementTimeout), TargetLatency: ctconfig.Duration(statementTimeout / 2),
		})
	}
	for _, g := range o.fleet.groups {
		document.Groups = append(document.Groups, ctconfig.Group{
			Name: g.name, Connections: o.fleet.plan.Shape.Connections, SyncReplicas: 1,
		})
		for f := range freshnessCount {
			addRoute(databaseName(g.name, f), g.name, f)
		}
	}
	addRoute(releaseDatabase(release), o.fleet.groups[0].name, freshnessPrimary)
	return platform.RenderConfig(release, document)
}

// configFreshness has the name of each freshness in the configuration.
var configFreshness = [...]ctconfig.Freshness{
	ctconfig.FreshnessPrimary, ctconfig.FreshnessBounded, ctconfig.FreshnessSession,
}

// run changes the configuration until ctx ends. It does not wait for the outcome, so two
// changes may overlap.
func (o *operator) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		release := o.nextRelease()
		go o.publish(ctx, release)
		if random.IntN(4) == 0 {
			go o.publishInvalid(ctx)
		}
		go o.checkCurrentConfig(ctx, o.randomControl())
		sleep(ctx, time.Duration((0.2+random.ExpFloat64())*float64(changeIntervalScale)))
	}
}

// nextRelease assigns the next release number and returns it. Numbers may have gaps.
func (o *operator) nextRelease() ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.newest += ctid.Release(1 + o.random.IntN(3))
	return o.newest
}

// newestRelease returns the newest release number that was assigned.
func (o *operator) newestRelease() ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.newest
}

// randomControl returns the operators' address of a random control process.
func (o *operator) randomControl() netip.AddrPort {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	controls := o.fleet.controlAddresses()
	return controls[o.random.IntN(len(controls))]
}

// publish sends a release until control acknowledges it, and reports whether it did. It
// then sends the release once more, which must not be refused.
func (o *operator) publish(ctx context.Context, release ctid.Release) bool {
	body, err := o.render(release)
	if err != nil {
		o.fleet.checker.recordViolation(InvariantConfig, "release %d can't be rendered: %v", release, err)
		return false
	}
	o.mutex.Lock()
	o.sent[release] = body
	o.mutex.Unlock()
	first := time.Now()
	for ctx.Err() == nil {
		status, err := o.sendConfig(ctx, body)
		switch {
		case err == nil && status == http.StatusOK:
			o.mutex.Lock()
			o.acknowledged[release] = time.Now()
			o.mutex.Unlock()
			if release%releasesPerOther == 0 {
				o.publishOther(ctx, release, body)
			}
			if status, err := o.sendConfig(ctx, body); err == nil && status/100 == 4 {
				o.fleet.checker.recordViolation(InvariantConfig,
					"release %d was acknowledged but refused with status %d when sent again", release, status)
			}
			return true
		case err == nil && status/100 == 4:
			o.fleet.checker.recordViolation(InvariantConfig, "release %d was refused with status %d", release, status)
			return false
		}
		if since := time.Now().Add(-acknowledgeTimeout); first.Before(since) && o.fleet.faultFreeSince(since) {
			o.fleet.checker.recordViolation(InvariantConfig, "release %d was not acknowledged in %s without a fault",
				release, acknowledgeTimeout)
			return false
		}
		sleep(ctx, retryDelay)
	}
	return false
}

// publishOther sends other content under the number of an acknowledged release: a database with
// another name. It may be refused or acknowledged, but must not be in force, which probeOther
// checks, or be read back, which checkCurrentConfig does.
func (o *operator) publishOther(ctx context.Context, release ctid.Release, body []byte) {
	_, _ = o.sendConfig(ctx, otherContent(release, body))
}

// otherContent returns the body of a release with another name for the database that only this
// release has.
func otherContent(release ctid.Release, body []byte) []byte {
	own, other := string(releaseDatabase(release))+`"`, string(otherDatabase(release))+`"`
	return bytes.ReplaceAll(body, []byte(own), []byte(other))
}

// probeOther checks that a proxy doesn't use the other content of a release.
func (o *operator) probeOther(ctx context.Context, h *host, release ctid.Release) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, answer, err := ctpeer.Dial(ctx, h.settings.CallerAddress, otherDatabase(release))
	if conn != nil {
		conn.Close()
	}
	if err == nil && answer.OK() {
		o.fleet.checker.recordViolation(InvariantConfig, "%s used other content of release %d", h.Host, release)
	}
}

// sendConfig sends a configuration to a random control process and returns the HTTP status.
func (o *operator) sendConfig(ctx context.Context, body []byte) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.client.Publish(callCtx, o.randomControl(), body)
}

// publishInvalid sends an invalid configuration, which control must not acknowledge.
func (o *operator) publishInvalid(ctx context.Context) {
	body, err := o.render(o.nextRelease())
	if err != nil {
		return
	}
	body = bytes.ReplaceAll(body, []byte(renderedTimeout), []byte(`"timeout_ms":0`))
	if status, err := o.sendConfig(ctx, body); err == nil && status == http.StatusOK {
		o.fleet.checker.recordViolation(InvariantConfig, "a configuration without a statement timeout was acknowledged")
	}
}

// checkCurrentConfig reads the configuration of a control process and checks it: it must be
// one that was sent, and not older than what was acknowledged applyTimeout ago. It reports
// whether the process answered.
func (o *operator) checkCurrentConfig(ctx context.Context, control netip.AddrPort) bool {
	required := o.newestAcknowledged(time.Now().Add(-applyTimeout))
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	release, body, err := o.client.CurrentConfig(callCtx, control)
	if err != nil || body == nil {
		return false
	}
	o.mutex.Lock()
	sent := o.sent[release]
	o.mutex.Unlock()
	if release < required {
		o.fleet.checker.recordViolation(InvariantConfig, "release %d was read from %s after release %d was acknowledged",
			release, control, required)
	}
	if !bytes.Equal(sent, body) {
		o.fleet.checker.recordViolation(InvariantConfig, "release %d was read back with a body that was not sent", release)
	}
	return true
}

// newestAcknowledged returns the newest release that was acknowledged before a time, or 0.
func (o *operator) newestAcknowledged(before time.Time) ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var newest ctid.Release
	for release, at := range o.acknowledged {
		if at.Before(before) {
			newest = max(newest, release)
		}
	}
	return newest
}

// probeReleases probes random proxies for recent releases until ctx ends.
func (o *operator) probeReleases(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		h := o.fleet.proxies[random.IntN(len(o.fleet.proxies))]
		release := o.newestRelease()
		if age := ctid.Release(random.IntN(6)); age < release {
			go o.probeRelease(ctx, h, release-age)
			if (release-age)%releasesPerOther == 0 {
				go o.probeOther(ctx, h, release-age)
			}
		}
		sleep(ctx, releaseProbeInterval)
	}
}

// probeRelease reports whether a proxy uses a release. It records a violation if the proxy
// served a newer release before, from the same process, and the grace period is over. A
// probe during which the process restarted returns false.
func (o *operator) probeRelease(ctx context.Context, h *host, release ctid.Release) bool {
	sent := time.Now()
	start := h.startCount()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, answer, err := ctpeer.Dial(callCtx, h.settings.CallerAddress, releaseDatabase(release))
	if conn != nil {
		conn.Close()
	}
	if err != nil || start != h.startCount() {
		return false
	}
	if inTouch := o.fleet.inTouch(h, sent.Add(-stableWindow)); inTouch || answer.OK() {
		o.checkApplied(h, release, answer, sent, inTouch)
	}
	if !answer.OK() {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	key := processStart{host: h, start: start}
	last := o.shown[key]
	if release > last.release {
		o.shown[key] = shownRelease{release: release, at: time.Now()}
		return true
	}
	grace := regressGrace
	if !h.undisturbedSince(sent.Add(-stopTimeout)) || !o.fleet.faultFreeSince(sent.Add(-stopTimeout)) {
		grace = regressGraceAfterFault
	}
	if release < last.release && sent.Sub(last.at) > grace {
		o.fleet.checker.recordViolation(InvariantConfig, "%s used release %d after release %d", h.Host, release, last.release)
	}
	return true
}

// checkApplied checks how a proxy has answered a probe of a release. A release that was not sent
// is in force nowhere. A proxy that is in touch uses the newest release that was acknowledged
// applyTimeout before the probe, or a newer one.
func (o *operator) checkApplied(h *host, release ctid.Release, answer ctpeer.Answer, probed time.Time, inTouch bool) {
	required := o.newestAcknowledged(probed.Add(-applyTimeout))
	o.mutex.Lock()
	_, sent := o.sent[release]
	newest := slices.Max(slices.Collect(maps.Keys(o.sent)))
	o.mutex.Unlock()
	switch {
	case answer.OK() && !sent:
		o.fleet.checker.recordViolation(InvariantConfig, "%s used release %d, which is not valid", h.Host, release)
	case answer.OK() && inTouch && release < required:
		o.fleet.checker.recordViolation(InvariantConfig, "%s used release %d %s after release %d was acknowledged",
			h.Host, release, applyTimeout, required)
	case answer.Fault == ctquery.FaultNoDatabase && inTouch && release == required && release == newest:
		o.fleet.checker.recordViolation(InvariantConfig, "%s did not use release %d %s after it was acknowledged",
			h.Host, release, applyTimeout)
	}
}
