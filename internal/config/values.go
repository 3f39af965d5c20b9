package config

import (
	"fmt"
	"math"
	"net/netip"
	"path/filepath"
	"time"

	"cottonplank/internal/session/token"
)

// seconds converts a number of seconds, rounded to the nanosecond.
func seconds(v float64) time.Duration { return time.Duration(math.Round(v * float64(time.Second))) }

// resolvePath resolves a relative path against base, the folder of the configuration file that contains the path. An
// empty path stays empty.
func resolvePath(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

// checkAddress returns a FieldError unless value is an IP address with a port.
func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return invalid(key, value, reasonInvalidAddress)
	}
	return nil
}

// checkSite returns a FieldError if the name of the site is empty or too long for a session token.
func checkSite(site string) error {
	if site == "" || len(site) > token.MaxName {
		return invalid("site", site, fmt.Sprintf("has an invalid length: expected 1 to %d bytes", token.MaxName))
	}
	return nil
}

// boundedValue is a numeric setting with its upper bound. A larger value is mistyped or in the wrong unit.
type boundedValue struct {
	key        string
	value, max float64
}

// check returns a FieldError unless the value is within 0 to max.
func (b boundedValue) check() error {
	if b.value >= 0 && b.value <= b.max {
		return nil
	}
	return invalid(b.key, b.value, fmt.Sprintf("is out of range: expected 0 to %v", b.max))
}

// checkAll returns the error of the first value that is out of bounds.
func checkAll(values []boundedValue) error {
	for _, value := range values {
		if err := value.check(); err != nil {
			return err
		}
	}
	return nil
}
