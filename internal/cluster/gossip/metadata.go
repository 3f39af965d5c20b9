package gossip

import (
	"errors"
	"fmt"

	"cottonplank/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// maxDivisor is the largest divisor that is accepted from a member.
const maxDivisor = 1 << 20

var (
	errNoMetadata          = errors.New("no metadata")
	errDivisorOutsideRange = errors.New("divisor is out of range")
)

// nodeMetadata is the description that each member announces of itself. The library sends it with the member's name
// and address. Later versions may add fields; decoding ignores unknown fields.
type nodeMetadata struct {
	Zone    string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// Incarnation is the start time of the member's current session in milliseconds since the Unix epoch. A member raises
	// it to refute a false leave message.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Divisor is the budget divisor of the member's zone; 0 while the member's view has not converged.
	Divisor int `cbor:"5,keyasint,omitempty"`
}

func (m nodeMetadata) encode() ([]byte, error) { return cbor.Marshal(m) }

func decodeMetadata(raw []byte) (nodeMetadata, error) {
	var metadata nodeMetadata
	if len(raw) == 0 {
		return metadata, errNoMetadata
	}
	if err := cbor.Unmarshal(raw, &metadata); err != nil {
		return metadata, fmt.Errorf("metadata: %w", err)
	}
	if metadata.Divisor < 0 || metadata.Divisor > maxDivisor {
		return metadata, fmt.Errorf("metadata: %w: %d", errDivisorOutsideRange, metadata.Divisor)
	}
	return metadata, nil
}

// member returns the Member that the metadata describes, with the given name and address.
func (m nodeMetadata) member(name, address string) membership.Member {
	return membership.Member{
		Name:        name,
		Address:     address,
		Zone:        m.Zone,
		Region:      m.Region,
		Version:     m.Version,
		Incarnation: m.Incarnation,
		Divisor:     m.Divisor,
	}
}
