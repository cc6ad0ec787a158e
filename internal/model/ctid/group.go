package ctid

// Group names a database group: a primary and its replicas.
type Group string

// Check reports whether g is a valid name.
func (g Group) Check() error {
	return checkName("database group", string(g))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (g *Group) UnmarshalText(text []byte) error {
	name := Group(text)
	if err := name.Check(); err != nil {
		return err
	}
	*g = name
	return nil
}
