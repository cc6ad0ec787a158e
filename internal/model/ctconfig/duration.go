package ctconfig

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Duration is a duration that is encoded as text, such as 1.5s. Zero stands for the
// default of the setting.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 {
		return cterror.Newf(cterror.Invalid, "write a number and a unit, such as 500ms or 2s",
			"duration %q can't be read", text)
	}
	*d = Duration(value)
	return nil
}

// Or returns the duration, or fallback if it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}
