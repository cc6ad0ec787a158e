package ctexperiment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// Deployment describes the fleet of one user. Each group has one member in each
// failure domain.
type Deployment struct {
	Name           string
	FailureDomains []ctrelay.FailureDomain
	Groups         []string
	// Slots and Connections are the limits of one member: statements and
	// connections at once.
	Slots       int
	Connections int
	// ConnectDelay is how long a member takes to accept a new connection.
	ConnectDelay time.Duration
	// LeaseTTL is how long a write lease lasts; 0 selects the default of the
	// configuration.
	LeaseTTL time.Duration
	// DomainDelay is the one-way delay of a packet between two failure domains.
	DomainDelay time.Duration
}

// Settings that all deployments share.
const (
	deploymentProxiesPerDomain = 5
	deploymentControls         = 3
	// statementDelay is how long a member takes to run a statement.
	statementDelay = 20 * time.Millisecond
	requestTimeout = time.Second
)

// FindDeployment returns the deployment of the given name, or an error that lists
// the known names.
func FindDeployment(name string) (*Deployment, error) {
	switch name {
	case "fit-registry":
		return &Deployment{
			Name:           name,
			FailureDomains: defaultFailureDomains(),
			Groups:         groupNames(name),
			Slots:          5,
			Connections:    75,
			ConnectDelay:   12 * time.Millisecond,
			DomainDelay:    1500 * time.Microsecond,
		}, nil
	case "narocila-db":
		return &Deployment{
			Name:           name,
			FailureDomains: []ctrelay.FailureDomain{"ljubljana-a", "maribor-a", "koper-a"},
			Groups:         groupNames(name),
			Slots:          2,
			Connections:    65,
			ConnectDelay:   27 * time.Millisecond,
			DomainDelay:    time.Millisecond,
		}, nil
	}
	return nil, errors.Errorf("deployment %q is unknown: use fit-registry or narocila-db", name)
}

// groupNames returns the names of the three groups of a deployment.
func groupNames(name string) []string {
	const groupCount = 3
	names := make([]string, groupCount)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", name, i+1)
	}
	return names
}

// Capacity returns how many statements a second the slots of all members can run.
func (d *Deployment) Capacity() float64 {
	members := len(d.Groups) * len(d.FailureDomains)
	return float64(members*d.Slots) / statementDelay.Seconds()
}

// configYAML returns the configuration of the deployment. The value plainSelects
// is the target of selects that declare no target of their own.
func (d *Deployment) configYAML(plainSelects string) string {
	text := fmt.Sprintf("defaults:\n  sessions:\n    request_timeout: %s\n  reads:\n    plain_selects: %s\n",
		requestTimeout, plainSelects)
	if d.LeaseTTL > 0 {
		text += fmt.Sprintf("  failovers:\n    lease_time: %s\n", d.LeaseTTL)
	}
	text += "groups:\n"
	for _, g := range d.Groups {
		text += fmt.Sprintf("  - name: %s\n    size: %d\n", g, len(d.FailureDomains))
	}
	return text
}

// fleetShape returns the shape of the deployment's fleet.
func (d *Deployment) fleetShape(plainSelects string) ctfleet.Shape {
	return ctfleet.Shape{
		FailureDomains: d.FailureDomains,
		Proxies:        deploymentProxiesPerDomain,
		Controls:       deploymentControls,
		Groups:         d.Groups,
		Slots:          d.Slots,
		Connections:    d.Connections,
		ConnectDelay:   d.ConnectDelay,
		StatementDelay: statementDelay,
		Config:         d.configYAML(plainSelects),
	}
}

// start starts the deployment's fleet with a one-way delay between failure
// domains. The caller must call the returned function to stop the fleet.
func (d *Deployment) start(binFolder, plainSelects string, domainDelay time.Duration) (*ctfleet.Fleet, func(), error) {
	fleet, stop, err := startFleet(binFolder, d.fleetShape(plainSelects))
	if err != nil {
		return nil, nil, err
	}
	d.setDomainDelay(fleet, domainDelay)
	return fleet, stop, nil
}

// setDomainDelay sets the one-way delay of packets between all failure domains.
func (d *Deployment) setDomainDelay(fleet *ctfleet.Fleet, domainDelay time.Duration) {
	for i, a := range d.FailureDomains {
		for _, b := range d.FailureDomains[i+1:] {
			fleet.Network.SetDelay(a, b, domainDelay)
		}
	}
}
