package ctid

// Change names one operator change. An operator resends a change under the same name.
type Change string

// Check reports whether c is a valid name.
func (c Change) Check() error {
	return checkName("change", string(c))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (c *Change) UnmarshalText(text []byte) error {
	name := Change(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
