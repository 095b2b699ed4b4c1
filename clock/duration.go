package clock

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text, such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("write a duration such as \"250ms\" or \"2s\", not %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
