package ctid

// IdempotencyKey names a request that must run at most once, however often its
// caller sends it. It is unique among the requests of the caller to one group.
type IdempotencyKey string

// Check reports whether k is a valid name.
func (k IdempotencyKey) Check() error {
	return checkName("idempotency key", string(k))
}

// UnmarshalText decodes and checks a name. It implements
// encoding.TextUnmarshaler.
func (k *IdempotencyKey) UnmarshalText(text []byte) error {
	name := IdempotencyKey(text)
	if err := name.Check(); err != nil {
		return err
	}
	*k = name
	return nil
}
