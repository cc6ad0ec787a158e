package ctid

// Proxy names a proxy process. One VM runs one proxy.
type Proxy string

// Check returns an error of kind cterror.Invalid if p is not a valid name.
func (p Proxy) Check() error {
	return checkName("proxy", string(p))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (p *Proxy) UnmarshalText(text []byte) error {
	name := Proxy(text)
	if err := name.Check(); err != nil {
		return err
	}
	*p = name
	return nil
}
