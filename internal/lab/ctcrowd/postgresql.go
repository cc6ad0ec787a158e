package ctcrowd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// The PostgreSQL fleet has one process of each kind. Its proxy has the limits.
const (
	postgreSQLGroup  = "charts"
	postgreSQLDomain = "domain-0"
)

// postgreSQLConfig is the configuration of the fleet.
const postgreSQLConfig = `
defaults:
  reads:
    max_age: 1h
groups:
  - name: ` + postgreSQLGroup + `
    size: 1
`

// StartPostgreSQL starts a fleet that serves the PostgreSQL protocol. The caller stops it.
func StartPostgreSQL(options Options) (*ctfleet.Fleet, error) {
	fleet, err := ctfleet.Start(ctfleet.Options{
		Folder: options.Folder, BinFolder: options.BinFolder,
		Shape: ctfleet.Shape{
			FailureDomains: []ctrelay.FailureDomain{postgreSQLDomain}, Proxies: 1, Controls: 1,
			Groups: []string{postgreSQLGroup},
			Config: postgreSQLConfig,
			ProxyArguments: []string{
				"--memory-limit", fmt.Sprint(int(options.Memory)), "--descriptor-limit", fmt.Sprint(options.Descriptors),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	if err := fleet.AwaitReady(); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

// AwaitPostgreSQLServed waits until a proxy answers an ordinary request.
func AwaitPostgreSQLServed(ctx context.Context, proxy *ctfleet.Process) error {
	return await(ctx, "the proxy answers an ordinary request", func(ctx context.Context) bool {
		session, err := pgconn.Connect(ctx, "postgres://lab@"+proxy.Listen.String()+"/"+postgreSQLGroup+"?sslmode=disable")
		if err != nil {
			return false
		}
		defer func() { _ = session.Close(ctx) }()
		_, err = session.Exec(ctx, "SELECT 1").ReadAll()
		return err == nil
	})
}

// HalfRequest opens a PostgreSQL session, sends a large part of a request and stops.
type HalfRequest struct{}

// ClaimedRequest opens a PostgreSQL session and sends only the header of a request of 16 MiB.
type ClaimedRequest struct{}

// EndlessRequest opens a PostgreSQL session and sends messages of a request that does not end.
type EndlessRequest struct{}

// Statements opens a PostgreSQL session and prepares a number of large statements.
type Statements struct {
	Count int
}

// Requests opens a PostgreSQL session and sends a number of requests without reading the answers.
type Requests struct {
	Count int
}

// IdleRequests opens a PostgreSQL session and does nothing.
type IdleRequests struct{}

func (HalfRequest) isBehaviour()    {}
func (ClaimedRequest) isBehaviour() {}
func (EndlessRequest) isBehaviour() {}
func (Statements) isBehaviour()     {}
func (Requests) isBehaviour()       {}
func (IdleRequests) isBehaviour()   {}

// claimedHeader begins a Query that claims 16 MiB.
const claimedHeader = "Q\x01\x00\x00\x00"

// runPostgreSQL does what the behaviour says over the PostgreSQL protocol.
func (c *client) runPostgreSQL(behaviour Behaviour) {
	frontend := pgproto3.NewFrontend(c.socket, c.socket)
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crowd", "database": postgreSQLGroup},
	}
	if !c.send(encoded(startup), 0) || !c.awaitReady(frontend) {
		return
	}
	query := encoded(&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", largeBytes) + "'"})
	switch b := behaviour.(type) {
	case HalfRequest:
		c.send(query[:len(query)-pieceBytes], 0)
	case ClaimedRequest:
		c.send(claimedHeader, 0)
	case EndlessRequest:
		c.send(strings.Repeat(encoded(&pgproto3.Parse{Query: "SELECT '" + strings.Repeat("x", pieceBytes) + "'"}),
			largeBytes/pieceBytes), 0)
	case Requests:
		c.send(strings.Repeat(encoded(&pgproto3.Query{String: "SELECT 1"}), b.Count), pieceBytes)
	case Statements:
		for i := range b.Count {
			parse := &pgproto3.Parse{Name: fmt.Sprintf("s%d", i), Query: "SELECT '" + strings.Repeat("x", largeBytes) + "'"}
			if !c.send(encoded(parse)+encoded(&pgproto3.Sync{}), 0) || !c.awaitReady(frontend) {
				return
			}
		}
	}
}

// awaitReady reads messages until the server is ready for a request, and reports whether it is.
func (c *client) awaitReady(frontend *pgproto3.Frontend) bool {
	if c.socket.SetReadDeadline(time.Now().Add(stepTimeout)) != nil {
		return false
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return false
		}
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return true
		}
	}
}

// encoded returns the bytes of a message.
func encoded(message pgproto3.FrontendMessage) string {
	data, err := message.Encode(nil)
	if err != nil {
		return ""
	}
	return string(data)
}
