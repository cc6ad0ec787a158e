package ctid

// Member names a backend server that belongs to a database group.
type Member string

// Check reports whether m is a valid name.
func (m Member) Check() error {
	return checkName("member", string(m))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (m *Member) UnmarshalText(text []byte) error {
	name := Member(text)
	if err := name.Check(); err != nil {
		return err
	}
	*m = name
	return nil
}
