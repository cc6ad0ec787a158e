package ctsoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// The times of operators.
const (
	// applyTime is how long an acknowledged configuration may take to be in force.
	applyTime = 4 * time.Second
	// regressTime is how long after a process has shown a release an older one may
	// still be seen of it, eight times that where it was disturbed.
	regressTime     = 250 * time.Millisecond
	regressExtended = 8 * regressTime
	callTime        = time.Second
	changePause     = 1500 * time.Millisecond
	probePause      = 100 * time.Millisecond
	// acknowledgeTime is how long an order may stay open while control is calm.
	acknowledgeTime = 6 * time.Second
)

// operator sends configurations and reads them back. Each release has a database of
// its own, by which proxies show what they follow.
type operator struct {
	site    *Fleet
	outside platform.ExternalClient

	mutex  sync.Mutex
	random *rand.Rand
	// sent are the bodies by release, and acknowledged when each was.
	sent         map[ctid.Release][]byte
	acknowledged map[ctid.Release]time.Time
	newest       ctid.Release
	shown        map[shower]showing
}

// shower is a proxy in one of its starts.
type shower struct {
	host *host
	boot int
}

// showing is the newest release that a proxy has shown, and when first.
type showing struct {
	release ctid.Release
	at      time.Time
}

func newOperator(site *Fleet, random *rand.Rand) *operator {
	return &operator{
		site: site, random: random, sent: make(map[ctid.Release][]byte),
		acknowledged: make(map[ctid.Release]time.Time), shown: make(map[shower]showing),
	}
}

// releaseDatabase names the database that only one release has.
func releaseDatabase(release ctid.Release) ctid.Database {
	return ctid.Database(fmt.Sprintf("release-%d", release))
}

// body renders a release.
func (o *operator) body(release ctid.Release) ([]byte, error) {
	var document ctconfig.Document
	const restTime = 3 * time.Second
	document.Defaults.Sessions.TransactionTimeout = ctconfig.Duration(restTime)
	add := func(name ctid.Database, group ctid.Group, f freshness) {
		document.Routes = append(document.Routes, ctconfig.Route{
			Name: "r-" + string(name), Database: name, Group: group, Freshness: kinds[f],
			MaxStaleness:     ctconfig.Duration(f.stale()),
			StatementTimeout: ctconfig.Duration(statementTime), TargetLatency: ctconfig.Duration(statementTime / 2),
		})
	}
	for _, g := range o.site.groups {
		document.Groups = append(document.Groups, ctconfig.Group{
			Name: g.name, Connections: o.site.plan.Shape.Connections, SyncReplicas: 1,
		})
		for f := range freshnessCount {
			add(database(g.name, f), g.name, f)
		}
	}
	add(releaseDatabase(release), o.site.groups[0].name, freshPrimary)
	return platform.RenderConfig(release, document)
}

var kinds = [...]ctconfig.Freshness{
	ctconfig.FreshnessPrimary, ctconfig.FreshnessBounded, ctconfig.FreshnessSession,
}

// run changes the configuration until ctx ends; two changes overlap at times.
func (o *operator) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		release := o.next()
		go o.publish(ctx, release)
		if random.IntN(4) == 0 {
			go o.refuse(ctx)
		}
		go o.recall(ctx, o.control())
		sleep(ctx, time.Duration((0.2+random.ExpFloat64())*float64(changePause)))
	}
}

func (o *operator) next() ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.newest += ctid.Release(1 + o.random.IntN(3))
	return o.newest
}

// last returns the newest release that was chosen.
func (o *operator) last() ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.newest
}

func (o *operator) control() netip.AddrPort {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	controls := o.site.operators()
	return controls[o.random.IntN(len(controls))]
}

// publish sends a release until it is acknowledged, once more after that, and
// reports whether it was.
func (o *operator) publish(ctx context.Context, release ctid.Release) bool {
	body, err := o.body(release)
	if err != nil {
		o.site.judge.breach(InvariantConfig, "release %d can't be rendered: %v", release, err)
		return false
	}
	o.mutex.Lock()
	o.sent[release] = body
	o.mutex.Unlock()
	first := time.Now()
	for ctx.Err() == nil {
		status, err := o.send(ctx, body)
		switch {
		case err == nil && status == http.StatusOK:
			o.mutex.Lock()
			o.acknowledged[release] = time.Now()
			o.mutex.Unlock()
			if status, err := o.send(ctx, body); err == nil && status/100 == 4 {
				o.site.judge.breach(InvariantConfig, "release %d was acknowledged and refused with %d when sent again",
					release, status)
			}
			return true
		case err == nil && status/100 == 4:
			o.site.judge.breach(InvariantConfig, "release %d was refused with %d", release, status)
			return false
		}
		if since := time.Now().Add(-acknowledgeTime); first.Before(since) && o.site.calm(since) {
			o.site.judge.breach(InvariantConfig, "release %d was not acknowledged in %s without a fault",
				release, acknowledgeTime)
			return false
		}
		sleep(ctx, retryTime)
	}
	return false
}

func (o *operator) send(ctx context.Context, body []byte) (int, error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return o.outside.Publish(call, o.control(), body)
}

// refuse sends a configuration that is not valid.
func (o *operator) refuse(ctx context.Context) {
	body, err := o.body(o.next())
	if err != nil {
		return
	}
	body = bytes.ReplaceAll(body, []byte(`"timeout_ms":2000`), []byte(`"timeout_ms":0`))
	if status, err := o.send(ctx, body); err == nil && status == http.StatusOK {
		o.site.judge.breach(InvariantConfig, "a configuration without a time limit was acknowledged")
	}
}

// recall reads the configuration of a control process, and reports whether it
// answered.
func (o *operator) recall(ctx context.Context, control netip.AddrPort) bool {
	due := o.due(time.Now().Add(-applyTime))
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	release, body, err := o.outside.CurrentConfig(call, control)
	if err != nil || body == nil {
		return false
	}
	o.mutex.Lock()
	sent := o.sent[release]
	o.mutex.Unlock()
	if release < due {
		o.site.judge.breach(InvariantConfig, "release %d was read at %s after %d was acknowledged", release, control, due)
	}
	if !bytes.Equal(sent, body) {
		o.site.judge.breach(InvariantConfig, "release %d was read back as something that was not sent", release)
	}
	return true
}

// due returns the newest release that was acknowledged before a time.
func (o *operator) due(before time.Time) ctid.Release {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var due ctid.Release
	for release, at := range o.acknowledged {
		if at.Before(before) {
			due = max(due, release)
		}
	}
	return due
}

// probe asks proxies which releases they follow until ctx ends.
func (o *operator) probe(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		h := o.site.proxies[random.IntN(len(o.site.proxies))]
		release := o.last()
		if back := ctid.Release(random.IntN(6)); back < release {
			go o.probeOne(ctx, h, release-back)
		}
		sleep(ctx, probePause)
	}
}

// probeOne asks a proxy whether it follows a release, and reports whether it does. A
// proxy that has shown a newer one must not.
func (o *operator) probeOne(ctx context.Context, h *host, release ctid.Release) bool {
	sent := time.Now()
	boot := h.boot()
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	end, answer, err := platform.DialProxy(call, h.settings.CallerAddress, releaseDatabase(release))
	if end != nil {
		end.Close()
	}
	if err != nil || answer.Fault != ctquery.FaultNone || boot != h.boot() {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	key := shower{host: h, boot: boot}
	last := o.shown[key]
	if release > last.release {
		o.shown[key] = showing{release: release, at: time.Now()}
		return true
	}
	slack := regressTime
	if !h.undisturbed(sent.Add(-stopTime)) || !o.site.calm(sent.Add(-stopTime)) {
		slack = regressExtended
	}
	if release < last.release && sent.Sub(last.at) > slack {
		o.site.judge.breach(InvariantConfig, "%s followed release %d after %d", h.Host, release, last.release)
	}
	return true
}
