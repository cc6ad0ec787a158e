package ctexperiment

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
)

// idlePeerWindow is how long unused connections are measured.
const idlePeerWindow = 20 * time.Second

// anyLoopbackPort makes a listener choose a free port of the loopback address.
var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// PeerConnectionsReport is the result of PeerConnections. Its values are averages
// for one connection.
type PeerConnectionsReport struct {
	Peers int `json:"peers"`
	// MemoryBytes is the memory of both ends just after the only request.
	MemoryBytes int64 `json:"bytes"`
	// LaterMemoryBytes is the memory of both ends at the end of the measurement.
	LaterMemoryBytes int64 `json:"later_bytes"`
	// BytesPerSecond is the traffic of the unused connection in both directions.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// LaterBytesPerSecond is the traffic in the last quarter of the measurement.
	LaterBytesPerSecond float64 `json:"later_bytes_per_second"`
}

// peerSet is a client endpoint and the servers that it connects to. All of them run
// in this process, and each stands for a process of its own.
type peerSet struct {
	network ctrelay.UDPNetwork
	keys    *ctkey.Bundle
	client  *ctquic.Endpoint
	servers []*ctquic.Endpoint
	relays  []*ctrelay.UDPRelay
	// addresses are those of the relays, one for each server.
	addresses []netip.AddrPort
}

// PeerConnections opens connections from one endpoint to a number of others, sends
// one request on each and measures the connections while they are unused. The count
// must be at least 1.
func PeerConnections(ctx context.Context, count int) (*PeerConnectionsReport, error) {
	folder, err := os.MkdirTemp("", "ctexperiment")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	p := &peerSet{}
	defer p.close()
	if err := p.start(ctx, folder, count); err != nil {
		return nil, err
	}
	before := memoryInUse()
	if err := p.callAll(ctx); err != nil {
		return nil, err
	}
	report := &PeerConnectionsReport{Peers: count, MemoryBytes: (memoryInUse() - before) / int64(count)}
	const quarters = 4
	startBytes, quarterBytes := p.trafficBytes(), int64(0)
	for range quarters {
		quarterBytes = p.trafficBytes()
		time.Sleep(idlePeerWindow / quarters)
	}
	endBytes := p.trafficBytes()
	report.LaterMemoryBytes = (memoryInUse() - before) / int64(count)
	report.BytesPerSecond = float64(endBytes-startBytes) / idlePeerWindow.Seconds() / float64(count)
	report.LaterBytesPerSecond = float64(endBytes-quarterBytes) * quarters / idlePeerWindow.Seconds() / float64(count)
	return report, nil
}

// start creates keys in the folder and starts the client and the servers.
func (p *peerSet) start(ctx context.Context, folder string, count int) error {
	authority, node := filepath.Join(folder, "keys"), filepath.Join(folder, "node")
	if err := ctkey.CreateAuthority(authority, "lab", time.Now()); err != nil {
		return err
	}
	var err error
	if p.keys, err = issueKeys(authority, node); err != nil {
		return err
	}
	if p.client, err = ctquic.Listen(anyLoopbackPort, p.keys); err != nil {
		return err
	}
	for range count {
		if err := p.startServer(ctx); err != nil {
			return err
		}
	}
	return nil
}

// issueKeys issues keys from the authority's folder into another folder and loads
// them. All endpoints of this process share the keys.
func issueKeys(authority, folder string) (*ctkey.Bundle, error) {
	if err := ctkey.Issue(authority, folder, "lab", time.Now()); err != nil {
		return nil, err
	}
	return ctkey.Load(folder)
}

// startServer starts a server behind a relay that counts bytes.
func (p *peerSet) startServer(ctx context.Context) error {
	server, err := ctquic.Listen(anyLoopbackPort, p.keys)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(ctx, echo) }()
	relay, err := ctrelay.StartUDP(&p.network, anyLoopbackPort, server.Address(), "")
	if err != nil {
		return err
	}
	p.relays = append(p.relays, relay)
	p.addresses = append(p.addresses, relay.Address())
	return nil
}

// echo returns each frame to its sender until the stream ends.
func echo(_ context.Context, quicStream *ctquic.Stream) {
	stream := ctstream.New(quicStream)
	defer stream.Close()
	for {
		frame, err := stream.Read()
		if err != nil || stream.Write(frame) != nil {
			return
		}
	}
}

// callAll opens a connection to each server and sends one request on it.
func (p *peerSet) callAll(ctx context.Context) error {
	transport := &ctstream.Transport{Endpoint: p.client}
	for _, address := range p.addresses {
		stream, err := transport.Open(ctx, address)
		if err != nil {
			return err
		}
		_, err = ctframe.Call(ctx, stream, &ctframe.Position{Group: groupName})
		stream.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// trafficBytes returns how many bytes the client has sent and received.
func (p *peerSet) trafficBytes() int64 {
	return p.network.TrafficBytes(p.client.Address().Port())
}

func (p *peerSet) close() {
	for _, r := range p.relays {
		r.Close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	if p.client != nil {
		_ = p.client.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	// A sync.Pool drops its unused objects only in the second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
