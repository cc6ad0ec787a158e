package ctid

// Proxy names a proxy process. One VM runs one proxy.
type Proxy string

// Check reports whether p is a valid name.
func (p Proxy) Check() error {
	return checkName("proxy", string(p))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (p *Proxy) UnmarshalText(text []byte) error {
	name := Proxy(text)
	if err := name.Check(); err != nil {
		return err
	}
	*p = name
	return nil
}
