package ctid

// FailureDomain names a failure domain: a set of VMs that a network partition cuts
// off together.
type FailureDomain string

// Check returns an error of kind cterror.Invalid if f is not a valid name.
func (f FailureDomain) Check() error {
	return checkName("failure domain", string(f))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (f *FailureDomain) UnmarshalText(text []byte) error {
	name := FailureDomain(text)
	if err := name.Check(); err != nil {
		return err
	}
	*f = name
	return nil
}
