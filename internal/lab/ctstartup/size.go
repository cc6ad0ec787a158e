package ctstartup

import (
	"fmt"
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// The fleet apart from its proxies: as in the deployments that are measured.
const (
	groupCount  = 8
	memberCount = 24
	routeCount  = 80
)

// sizes holds the sizes of encoded messages, in bytes.
type sizes struct {
	report int
	// reply is the reply to a report, and groupsReply that to a proxy without the newest view,
	// which lists the groups.
	reply, groupsReply int
	// rest is a view without proxies and configuration, and proxy a proxy's entry.
	rest, proxy int
	// packedConfig is the compressed configuration, and packedRest and packedProxy are as
	// rest and proxy in a compressed delta.
	packedConfig, packedRest, packedProxy int
	// small is a message of a few fields.
	small int
}

// measureSizes returns the sizes of encoded frames.
func measureSizes() sizes {
	const many = 300
	whole, rest := viewDelta(many), viewDelta(0)
	wholeSize, restSize := encodedSize(viewReply(whole)), encodedSize(viewReply(rest))
	packed, packedRest := packedSize(whole), packedSize(rest)
	primaries := make([]ctid.Member, groupCount)
	for i := range primaries {
		primaries[i] = memberName(i)
	}
	const number, version = 9, 1 << 41
	return sizes{
		report: encodedSize(&ctframe.Report{Report: ctview.Report{
			Number: number, Proxy: proxyEntry(0), Reachable: primaries, Version: version,
		}}),
		reply:        encodedSize(&ctframe.ReportReply{Reply: ctview.Reply{Number: number}}),
		groupsReply:  encodedSize(&ctframe.ReportReply{Reply: ctview.Reply{Number: number, Groups: rest.Groups}}),
		rest:         restSize,
		proxy:        (wholeSize - restSize) / many,
		packedConfig: packedSize(&ctview.Delta{Config: configOf()}),
		packedRest:   packedRest,
		packedProxy:  (packed - packedRest) / many,
		small:        encodedSize(&ctframe.Watch{Version: version}),
	}
}

func viewReply(delta *ctview.Delta) ctframe.Frame {
	return &ctframe.ReportReply{Reply: ctview.Reply{Delta: delta}}
}

// encodedSize returns the size of a frame. Frames of this package can always be encoded.
func encodedSize(frame ctframe.Frame) int {
	data, err := ctframe.Encode(frame)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func packedSize(delta *ctview.Delta) int {
	data, err := ctframe.CompressDelta(delta)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// viewDelta returns the whole view of a fleet without its configuration.
func viewDelta(proxies int) *ctview.Delta {
	delta := &ctview.Delta{To: 1 << 41}
	for i := range proxies {
		delta.Proxies = append(delta.Proxies, proxyEntry(i))
	}
	for i := range memberCount {
		delta.Members = append(delta.Members, ctserver.Announcement{
			Member: memberName(i), Group: groupName(i % groupCount), FailureDomain: domainName(i),
			Address: netip.AddrPortFrom(addressOf(memberRole, i), memberPort), State: ctserver.StateReady,
			Incarnation: incarnationOf(i), Slots: 4, Connections: 100,
		})
	}
	for i := range groupCount {
		delta.Groups = append(delta.Groups, ctview.Group{Name: groupName(i), Term: 1, Primary: memberName(i)})
	}
	return delta
}

// configOf returns the fleet's configuration.
func configOf() *ctview.Config {
	document := ctconfig.Document{}
	for i := range groupCount {
		document.Groups = append(document.Groups, ctconfig.Group{Name: groupName(i), Size: memberCount / groupCount})
	}
	for i := range routeCount {
		document.Routes = append(document.Routes, ctconfig.Route{
			Name: fmt.Sprintf("route-%d", i), Database: ctid.Database(fmt.Sprintf("database_%d", i)),
			Group: groupName(i % groupCount),
		})
	}
	return &ctview.Config{Revision: 1, Document: document}
}

// proxyEntry returns a proxy's entry in the view.
func proxyEntry(i int) ctview.Proxy {
	address := addressOf(proxyRole, i)
	return ctview.Proxy{
		Name: ctid.Proxy(address.String()), FailureDomain: domainName(i),
		Address: netip.AddrPortFrom(address, peerPort), Incarnation: incarnationOf(i), State: ctserver.StateReady,
	}
}

func groupName(i int) ctid.Group   { return ctid.Group(fmt.Sprintf("group-%d", i)) }
func memberName(i int) ctid.Member { return ctid.Member(fmt.Sprintf("member-%d", i)) }

func domainName(i int) ctid.FailureDomain {
	const domains = 6
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i%domains))
}

// incarnationOf returns a number of the size of a time in nanoseconds that differs from
// process to process in most digits.
func incarnationOf(i int) ctid.Incarnation {
	const base, step = 1_780_000_000_000_000_000, 123_456_789
	return ctid.Incarnation(base + step*uint64(i))
}

const (
	peerPort   = 7400
	memberPort = 5432
)

// The second numbers of the IP addresses, by role.
const (
	controlRole = 1
	proxyRole   = 2
	memberRole  = 3
)

// addressOf returns the address of the i-th process of a role.
func addressOf(role byte, i int) netip.Addr {
	const hosts = 250
	return netip.AddrFrom4([4]byte{10, role, byte(i / hosts), byte(i%hosts + 1)})
}
