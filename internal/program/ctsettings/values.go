package ctsettings

import (
	"encoding"
	"net/netip"
	"strings"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// textFlag is a flag whose value checks itself when it is decoded.
type textFlag struct {
	value    encoding.TextUnmarshaler
	text     string
	typeName string
}

// TextValue returns a flag's value for one that decodes itself.
func TextValue(value encoding.TextUnmarshaler, typeName string) pflag.Value {
	return &textFlag{value: value, typeName: typeName}
}

// textVar registers a flag for a value that decodes itself.
func textVar(flags *pflag.FlagSet, value encoding.TextUnmarshaler, name, typeName, usage string) {
	flags.Var(TextValue(value, typeName), name, usage)
}

// String returns the value as it was given.
func (t *textFlag) String() string {
	return t.text
}

// Set decodes the value.
func (t *textFlag) Set(text string) error {
	t.text = text
	return t.value.UnmarshalText([]byte(text))
}

// Type names the sort of value in help texts.
func (t *textFlag) Type() string {
	return t.typeName
}

// Address is an IP number and a port.
type Address struct {
	netip.AddrPort
}

// UnmarshalText decodes an address. Host names are refused, because the
// processes of the system reach each other by IP numbers.
func (a *Address) UnmarshalText(data []byte) error {
	address, err := netip.ParseAddrPort(string(data))
	if err != nil {
		return cterror.Newf(cterror.Invalid, "write an IP number and a port, such as 10.0.0.7:6432",
			"address %q can't be read", data)
	}
	a.AddrPort = address
	return nil
}

// Addresses is a list of addresses, written with commas.
type Addresses []netip.AddrPort

// UnmarshalText decodes a list of addresses.
func (a *Addresses) UnmarshalText(data []byte) error {
	*a = nil
	for item := range strings.SplitSeq(string(data), ",") {
		var address Address
		if err := address.UnmarshalText([]byte(strings.TrimSpace(item))); err != nil {
			return err
		}
		*a = append(*a, address.AddrPort)
	}
	return nil
}

// ControlPeer is another control process and where it is reached.
type ControlPeer struct {
	Name    ctid.Control
	Address netip.AddrPort
}

// ControlPeers is a list of control processes, written as name=address with commas.
type ControlPeers []ControlPeer

// UnmarshalText decodes a list of control processes.
func (c *ControlPeers) UnmarshalText(data []byte) error {
	*c = nil
	for item := range strings.SplitSeq(string(data), ",") {
		name, rawAddress, _ := strings.Cut(strings.TrimSpace(item), "=")
		var peer ControlPeer
		if err := peer.Name.UnmarshalText([]byte(name)); err != nil {
			return err
		}
		var address Address
		if err := address.UnmarshalText([]byte(rawAddress)); err != nil {
			return err
		}
		peer.Address = address.AddrPort
		*c = append(*c, peer)
	}
	return nil
}
