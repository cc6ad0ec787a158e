package ctid

// Group names a database group: a primary and its replicas.
type Group string

// Check returns an error of kind cterror.Invalid if g is not a valid name.
func (g Group) Check() error {
	return checkName("database group", string(g))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (g *Group) UnmarshalText(text []byte) error {
	name := Group(text)
	if err := name.Check(); err != nil {
		return err
	}
	*g = name
	return nil
}
