package ctexperiment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// Deployment describes the fleet of one user.
type Deployment struct {
	Name        string
	Sites       []ctrelay.Site
	Groups      []string
	Slots       int
	Connections int
	// ConnectDelay is how long a new connection to a member takes.
	ConnectDelay time.Duration
	// LeaseTTL is how long a write lease lasts; the default where it is 0.
	LeaseTTL time.Duration
	// DomainDelay is how long a packet takes from one failure domain to another.
	DomainDelay time.Duration
}

// Every deployment has this many proxies in a failure domain and control
// processes, and a statement takes this time on a member.
const (
	deploymentProxiesPerDomain = 5
	deploymentControls         = 3
	statementDelay             = 20 * time.Millisecond
	requestTimeout             = time.Second
)

// FindDeployment returns the deployment of a user by the name of its groups.
func FindDeployment(name string) (*Deployment, error) {
	switch name {
	case "fit-registry":
		return &Deployment{
			Name:         name,
			Sites:        defaultSites(),
			Groups:       groupNames(name),
			Slots:        5,
			Connections:  75,
			ConnectDelay: 12 * time.Millisecond,
			DomainDelay:  1500 * time.Microsecond,
		}, nil
	case "narocila-db":
		return &Deployment{
			Name:         name,
			Sites:        []ctrelay.Site{"ljubljana-a", "maribor-a", "koper-a"},
			Groups:       groupNames(name),
			Slots:        2,
			Connections:  65,
			ConnectDelay: 27 * time.Millisecond,
			DomainDelay:  time.Millisecond,
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

// Capacity is how many statements the slots of all members carry a second.
func (d *Deployment) Capacity() float64 {
	members := len(d.Groups) * len(d.Sites)
	return float64(members*d.Slots) / statementDelay.Seconds()
}

// configYAML is the configuration of the deployment with a choice for plain
// selects.
func (d *Deployment) configYAML(plainSelects string) string {
	text := fmt.Sprintf("defaults:\n  sessions:\n    request_timeout: %s\n  reads:\n    plain_selects: %s\n",
		requestTimeout, plainSelects)
	if d.LeaseTTL > 0 {
		text += fmt.Sprintf("  failovers:\n    lease_time: %s\n", d.LeaseTTL)
	}
	text += "groups:\n"
	for _, g := range d.Groups {
		text += fmt.Sprintf("  - name: %s\n    size: %d\n", g, len(d.Sites))
	}
	return text
}

// fleetShape is the fleet of the deployment.
func (d *Deployment) fleetShape(plainSelects string) ctfleet.Shape {
	return ctfleet.Shape{
		Sites:          d.Sites,
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

// start starts the deployment's fleet with its delays. Between is how long a
// packet takes from one failure domain to another.
func (d *Deployment) start(binFolder, plainSelects string, domainDelay time.Duration) (*ctfleet.Fleet, func(), error) {
	fleet, stop, err := startFleet(binFolder, d.fleetShape(plainSelects))
	if err != nil {
		return nil, nil, err
	}
	d.setDomainDelay(fleet, domainDelay)
	return fleet, stop, nil
}

// setDomainDelay sets how long a packet takes from one failure domain to another.
func (d *Deployment) setDomainDelay(fleet *ctfleet.Fleet, domainDelay time.Duration) {
	for i, a := range d.Sites {
		for _, b := range d.Sites[i+1:] {
			fleet.Network.SetDelay(a, b, domainDelay)
		}
	}
}
