package ctid

// FailureDomain names a failure domain: the VMs that a partition cuts off together.
type FailureDomain string

// Check reports whether f is a valid name.
func (f FailureDomain) Check() error {
	return checkName("failure domain", string(f))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (f *FailureDomain) UnmarshalText(text []byte) error {
	name := FailureDomain(text)
	if err := name.Check(); err != nil {
		return err
	}
	*f = name
	return nil
}
