package config

import (
	"fmt"
	"math"
	"net/netip"
	"path/filepath"
	"time"

	"cottonplank/internal/session/token"
)

// seconds converts a setting in seconds.
func seconds(v float64) time.Duration { return time.Duration(math.Round(v * float64(time.Second))) }

// resolvePath returns path as seen from the folder base, in which the file that names it lies.
func resolvePath(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

// checkAddress accepts an IP address with a port.
func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return invalid(key, value, reasonNoAddress)
	}
	return nil
}

// checkSite accepts a site name that fits into a session token.
func checkSite(site string) error {
	if site == "" || len(site) > token.MaxName {
		return invalid("site", site, fmt.Sprintf("is not 1 to %d bytes long", token.MaxName))
	}
	return nil
}

// boundedValue is a numeric setting with its largest sensible value: a larger one is a typing error or in a wrong unit.
type boundedValue struct {
	key        string
	value, max float64
}

// check accepts values from 0 to max.
func (b boundedValue) check() error {
	if b.value >= 0 && b.value <= b.max {
		return nil
	}
	return invalid(b.key, b.value, fmt.Sprintf("is not from 0 to %v", b.max))
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
