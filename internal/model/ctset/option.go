package ctset

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option with value present.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// Or returns the value, or fallback if it is absent.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
