package ctid

// Change names one configuration change of an operator. A retry uses the same name,
// by which control recognizes it as a duplicate.
type Change string

// Check returns an error of kind cterror.Invalid if c is not a valid name.
func (c Change) Check() error {
	return checkName("change", string(c))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (c *Change) UnmarshalText(text []byte) error {
	name := Change(text)
	if err := name.Check(); err != nil {
		return err
	}
	*c = name
	return nil
}
