package ctid

// Control names a control process. One VM runs one control process.
type Control string

// Check returns an error of kind cterror.Invalid if c is not a valid name.
func (c Control) Check() error {
	return checkName("control", string(c))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (c *Control) UnmarshalText(text []byte) error {
	name := Control(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
