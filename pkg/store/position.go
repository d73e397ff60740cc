package store

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Era counts how often the store has come back from a copy of itself that was some seconds old.
// What it had acknowledged since the copy is gone then, and its versions are given out again.
type Era uint64

// Version counts the changes of a whole store within one era.
type Version uint64

// Position is a place in the history of a store. Versions of two eras say nothing about each
// other, so nothing compares bare versions: a copy that waited for a higher version would take in
// nothing that is written after the store went back, until the count has caught up.
type Position struct {
	Era     Era
	Version Version
}

// NoPosition is that of an object which does not exist, in a store that tells no era.
var NoPosition = Position{}

// At returns a position in the first era.
func At(version Version) Position { return Position{Version: version} }

// Compare returns -1, 0 or 1 as p is before, at or after another position.
func (p Position) Compare(other Position) int {
	if p.Era != other.Era {
		return cmp.Compare(p.Era, other.Era)
	}
	return cmp.Compare(p.Version, other.Version)
}

// Before reports whether p is earlier than another position.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports that p is the position of nothing, in whatever era: that of an object which does
// not exist, or of a copy that has not been read.
func (p Position) IsZero() bool { return p.Version == 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String shows the version, and the era if there was more than one.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(uint64(p.Version))
	}
	return fmt.Sprintf("%d in era %d", p.Version, p.Era)
}

// wirePosition is a position as it is kept in objects.
type wirePosition struct {
	Era     Era     `json:"era"`
	Version Version `json:"version"`
}

// MarshalJSON implements json.Marshaler: a bare version where no era is told.
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
