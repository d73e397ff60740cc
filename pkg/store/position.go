package store

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Era identifies the period between two rollbacks of the store; it increases with each. In a rollback
// the store returns to a copy of itself that is some seconds old: the writes that it acknowledged
// after the copy are lost, and their versions are assigned again.
type Era uint64

// Version counts the changes of a whole store within one era.
type Version uint64

// Position is a point in the history of a store. Versions of different eras cannot be compared, so all
// comparisons are of positions: a copy that waited for a higher version would ignore everything that is
// written after a rollback until the version had caught up.
type Position struct {
	Era     Era
	Version Version
}

// NoPosition is the position of an object that does not exist, in a store without eras.
var NoPosition = Position{}

// At returns the position of a version in a store without eras.
func At(version Version) Position { return Position{Version: version} }

// Compare returns -1, 0 or 1 if p is before, equal to or after other.
func (p Position) Compare(other Position) int {
	if p.Era != other.Era {
		return cmp.Compare(p.Era, other.Era)
	}
	return cmp.Compare(p.Version, other.Version)
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether p has no version, in whatever era: it is the position of an object that does
// not exist, or of a copy that has not been read.
func (p Position) IsZero() bool { return p.Version == 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the version, followed by the era if there is one.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(uint64(p.Version))
	}
	return fmt.Sprintf("%d in era %d", p.Version, p.Era)
}

// wirePosition is the encoded form of a position with an era.
type wirePosition struct {
	Era     Era     `json:"era"`
	Version Version `json:"version"`
}

// MarshalJSON implements json.Marshaler. A position without an era is encoded as its version alone.
func (p Position) MarshalJSON() ([]byte, error) {
	if p.Era == 0 {
		return json.Marshal(uint64(p.Version))
	}
	return json.Marshal(wirePosition(p))
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Position) UnmarshalJSON(text []byte) error {
	var version Version
	if json.Unmarshal(text, &version) == nil {
		*p = At(version)
		return nil
	}
	var wire wirePosition
	if err := json.Unmarshal(text, &wire); err != nil {
		return fmt.Errorf("decode position: %w", err)
	}
	*p = Position(wire)
	return nil
}
