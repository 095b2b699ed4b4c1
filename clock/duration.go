package clock

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText reads the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("write a duration such as \"250ms\" or \"2s\", not %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
