package gossip

import (
	"errors"
	"fmt"

	"cottonplank/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// description is what each member tells of itself; the library carries it with the member's name and address. Later
// versions may add fields, which are passed over here.
type description struct {
	Zone        string `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // milliseconds since the epoch at the process's start
	Divisor     int    `cbor:"5,keyasint,omitempty"`
}

// departure announces a planned stop.
type departure struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

var errNoDescription = errors.New("no description")

// mostDivisor bounds what a member may announce; more is spoilt.
const mostDivisor = 1 << 20

func (d description) encode() ([]byte, error) { return cbor.Marshal(d) }

func decodeDescription(raw []byte) (d description, err error) {
	if len(raw) == 0 {
		return d, errNoDescription
	}
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return d, fmt.Errorf("description: %w", err)
	}
	if d.Divisor < 0 || d.Divisor > mostDivisor {
		return d, fmt.Errorf("description: a divisor of %d", d.Divisor)
	}
	return d, nil
}

func (d description) member(name, address string) membership.Member {
	return membership.Member{Name: name, Address: address, Zone: d.Zone, Region: d.Region, Version: d.Version,
		Incarnation: d.Incarnation, Divisor: d.Divisor}
}

func decodeDeparture(raw []byte) (d departure, err error) {
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return d, fmt.Errorf("departure: %w", err)
	}
	if d.Name == "" {
		return d, errors.New("departure: of nobody")
	}
	return d, nil
}
