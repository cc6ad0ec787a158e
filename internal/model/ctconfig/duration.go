package ctconfig

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Duration is a length of time that is written as text, such as 1.5s. Zero
// stands for the default of the setting.
type Duration time.Duration

// MarshalText renders the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration and refuses a negative one.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 {
		return cterror.Newf(cterror.Invalid, "write a number and a unit, such as 500ms or 2s",
			"duration %q can't be read", text)
	}
	*d = Duration(value)
	return nil
}

// Or returns the duration, or other where it is zero.
func (d Duration) Or(other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}
