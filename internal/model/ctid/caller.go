package ctid

// Caller names a caller. It is the user of the caller's startup packet.
type Caller string

// Check returns an error of kind cterror.Invalid if c is not a valid name.
func (c Caller) Check() error {
	return checkName("caller", string(c))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (c *Caller) UnmarshalText(text []byte) error {
	name := Caller(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
