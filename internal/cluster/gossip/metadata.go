package gossip

import (
	"errors"
	"fmt"

	"cottonplank/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// maxDivisor bounds the divisor that a member may announce.
const maxDivisor = 1 << 20

var (
	errNoMetadata          = errors.New("no metadata")
	errDivisorOutsideRange = errors.New("divisor is out of range")
)

// nodeMetadata is what each member announces of itself. The library sends it along with the member's name and
// address. Later versions may add fields; decoding ignores them.
type nodeMetadata struct {
	Zone    string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// Incarnation is the start of the member's process in milliseconds since the epoch.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Divisor is the divisor of the zone's budget; 0 while the member's view has not converged.
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

// member returns the member that the metadata describes.
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
