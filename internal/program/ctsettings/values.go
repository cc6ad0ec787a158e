package ctsettings

import (
	"encoding"
	"net/netip"
	"strings"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// textFlag implements pflag.Value for an encoding.TextUnmarshaler.
type textFlag struct {
	value encoding.TextUnmarshaler
	// text is the text that was last passed to Set.
	text     string
	typeName string
}

// TextValue returns a flag value that decodes its text into value. typeName is shown
// as the flag's type in help texts.
func TextValue(value encoding.TextUnmarshaler, typeName string) pflag.Value {
	return &textFlag{value: value, typeName: typeName}
}

// textVar registers a flag that decodes its text into value.
func textVar(flags *pflag.FlagSet, value encoding.TextUnmarshaler, name, typeName, usage string) {
	flags.Var(TextValue(value, typeName), name, usage)
}

// String returns the text as it was given.
func (t *textFlag) String() string {
	return t.text
}

// Set decodes the text into the value.
func (t *textFlag) Set(text string) error {
	t.text = text
	return t.value.UnmarshalText([]byte(text))
}

// Type returns the name of the flag's type in help texts.
func (t *textFlag) Type() string {
	return t.typeName
}

// Address is an IP address and a port. Its zero value is not valid.
type Address struct {
	netip.AddrPort
}

// UnmarshalText decodes an address such as 10.0.0.7:6432. It rejects host names,
// because the processes reach each other by IP addresses.
func (a *Address) UnmarshalText(data []byte) error {
	address, err := netip.ParseAddrPort(string(data))
	if err != nil {
		return cterror.Newf(cterror.Invalid, "write an IP number and a port, such as 10.0.0.7:6432",
			"address %q can't be read", data)
	}
	a.AddrPort = address
	return nil
}

// Addresses is a list of addresses. In text they are separated by commas.
type Addresses []netip.AddrPort

// UnmarshalText decodes a list of addresses, which replaces the current one.
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

// ControlPeer is the name and the UDP address of another control process.
type ControlPeer struct {
	Name    ctid.Control
	Address netip.AddrPort
}

// ControlPeers is a list of control processes. In text each one is name=address, and
// they are separated by commas.
type ControlPeers []ControlPeer

// UnmarshalText decodes a list of control processes, which replaces the current one.
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
