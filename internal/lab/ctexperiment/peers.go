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

// peersTime is how long connections are measured after their last use.
const peersTime = 20 * time.Second

// loopback is any free port of the loopback address.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// PeerConnectionsReport is what Peers measured of the connections from one process to
// others that it has asked once.
type PeerConnectionsReport struct {
	Peers int `json:"peers"`
	// MemoryBytes is the memory of both ends of a connection just after its use, and
	// LaterBytes after the time of the measurement.
	MemoryBytes      int64 `json:"bytes"`
	LaterMemoryBytes int64 `json:"later_bytes"`
	// BytesPerSecond is what a connection carries without being used, in bytes a
	// second over the time of the measurement.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// LaterBytesPerSecond is that of the last quarter of the time.
	LaterBytesPerSecond float64 `json:"later_bytes_per_second"`
}

// peers is a process with others that it talks to, all in this one.
type peers struct {
	net       ctrelay.UDPNetwork
	keys      *ctkey.Bundle
	self      *ctquic.Endpoint
	others    []*ctquic.Endpoint
	relays    []*ctrelay.UDPRelay
	addresses []netip.AddrPort
}

// PeerConnections measures the connections to so many other processes.
func PeerConnections(ctx context.Context, count int) (*PeerConnectionsReport, error) {
	folder, err := os.MkdirTemp("", "ctexperiment")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	p := &peers{}
	defer p.close()
	if err := p.start(ctx, folder, count); err != nil {
		return nil, err
	}
	before := heap()
	if err := p.askAll(ctx); err != nil {
		return nil, err
	}
	report := &PeerConnectionsReport{Peers: count, MemoryBytes: (heap() - before) / int64(count)}
	const parts = 4
	began, last := p.traffic(), int64(0)
	for range parts {
		last = p.traffic()
		time.Sleep(peersTime / parts)
	}
	end := p.traffic()
	report.LaterMemoryBytes = (heap() - before) / int64(count)
	report.BytesPerSecond = float64(end-began) / peersTime.Seconds() / float64(count)
	report.LaterBytesPerSecond = float64(end-last) * parts / peersTime.Seconds() / float64(count)
	return report, nil
}

func (p *peers) start(ctx context.Context, folder string, count int) error {
	authority, node := filepath.Join(folder, "keys"), filepath.Join(folder, "node")
	if err := ctkey.CreateAuthority(authority, "lab", time.Now()); err != nil {
		return err
	}
	var err error
	if p.keys, err = issueKeys(authority, node); err != nil {
		return err
	}
	if p.self, err = ctquic.Listen(loopback, p.keys); err != nil {
		return err
	}
	for range count {
		if err := p.add(ctx); err != nil {
			return err
		}
	}
	return nil
}

// issueKeys issues and loads the keys of the processes in this one.
func issueKeys(authority, folder string) (*ctkey.Bundle, error) {
	if err := ctkey.Issue(authority, folder, "lab", time.Now()); err != nil {
		return nil, err
	}
	return ctkey.Load(folder)
}

// add starts another process, behind a relay that counts.
func (p *peers) add(ctx context.Context) error {
	other, err := ctquic.Listen(loopback, p.keys)
	if err != nil {
		return err
	}
	p.others = append(p.others, other)
	go func() { _ = other.Serve(ctx, echo) }()
	relay, err := ctrelay.StartUDP(&p.net, loopback, other.Address(), "")
	if err != nil {
		return err
	}
	p.relays = append(p.relays, relay)
	p.addresses = append(p.addresses, relay.Address())
	return nil
}

// echo answers each frame with itself.
func echo(_ context.Context, stream *ctquic.Stream) {
	way := ctstream.New(stream)
	defer way.Close()
	for {
		frame, err := way.Read()
		if err != nil || way.Write(frame) != nil {
			return
		}
	}
}

// askAll asks each of the others once.
func (p *peers) askAll(ctx context.Context) error {
	ways := &ctstream.Transport{Endpoint: p.self}
	for _, address := range p.addresses {
		way, err := ways.Open(ctx, address)
		if err != nil {
			return err
		}
		_, err = ctframe.Call(ctx, way, &ctframe.Position{Group: group})
		way.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// traffic returns how many bytes were carried.
func (p *peers) traffic() int64 {
	return p.net.TrafficBytes(p.self.Address().Port())
}

func (p *peers) close() {
	for _, r := range p.relays {
		r.Close()
	}
	for _, o := range p.others {
		_ = o.Close()
	}
	if p.self != nil {
		_ = p.self.Close()
	}
}

// heap returns the memory that is in use after garbage was collected.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
