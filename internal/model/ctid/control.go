package ctid

// Control names a control process. One VM runs one control process.
type Control string

// Check reports whether c is a valid name.
func (c Control) Check() error {
	return checkName("control", string(c))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (c *Control) UnmarshalText(text []byte) error {
	name := Control(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
