package ctid

// Member names a backend server that belongs to a database group.
type Member string

// Check returns an error of kind cterror.Invalid if m is not a valid name.
func (m Member) Check() error {
	return checkName("member", string(m))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (m *Member) UnmarshalText(text []byte) error {
	name := Member(text)
	if err := name.Check(); err != nil {
		return err
	}
	*m = name
	return nil
}
