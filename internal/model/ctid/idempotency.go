package ctid

// IdempotencyKey names a request that must run at most once, even if its caller
// sends it repeatedly. It is unique among the caller's requests to one group.
type IdempotencyKey string

// Check returns an error of kind cterror.Invalid if k is not a valid name.
func (k IdempotencyKey) Check() error {
	return checkName("idempotency key", string(k))
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects invalid names.
func (k *IdempotencyKey) UnmarshalText(text []byte) error {
	name := IdempotencyKey(text)
	if err := name.Check(); err != nil {
		return err
	}
	*k = name
	return nil
}
