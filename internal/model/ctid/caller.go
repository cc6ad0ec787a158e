package ctid

// Caller names a caller, as its start-up packet gives the user.
type Caller string

// Check reports whether c is a valid name.
func (c Caller) Check() error {
	return checkName("caller", string(c))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (c *Caller) UnmarshalText(text []byte) error {
	name := Caller(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
