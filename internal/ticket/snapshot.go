package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// SnapshotVersion is the version of the format of Snapshot.
const SnapshotVersion = 1

var errMalformedSnapshot = errors.New("snapshot is malformed")

// Snapshot is the JSON form of a State. Lists are sorted by ID.
type Snapshot struct {
	Version       int                  `json:"version"`
	AppliedOffset int64                `json:"appliedOffset"` // -1 if no record was applied
	LowWater      uint64               `json:"lowWater"`      // highest ticket number evicted from the history
	Accounts      []Versioned[Account] `json:"accounts"`
	Services      []Versioned[Service] `json:"services"`
	Servers       []Versioned[Server]  `json:"servers"`
	History       []byte               `json:"history"` // see history.encode; base64 in JSON
}

// Snapshot returns a copy of the state.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Version:       SnapshotVersion,
		AppliedOffset: s.appliedOffset,
		LowWater:      s.history.lowWater,
		Accounts:      sortedByID(s.accounts),
		Services:      sortedByID(s.services),
		Servers:       sortedByID(s.servers),
		History:       s.history.encode(),
	}
}

// sortedByID returns the objects of a map keyed by ID, sorted by ID.
func sortedByID[T any](objects map[string]Versioned[T]) []Versioned[T] {
	list := make([]Versioned[T], 0, len(objects))
	for _, id := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[id])
	}
	return list
}

// Restore returns the state of a snapshot. It fails if the version or the applied
// offset is invalid, if an ID is empty or not unique, or if the history is malformed.
func Restore(snapshot Snapshot) (*State, error) { return restore(snapshot, HistoryLimit) }

func restore(snapshot Snapshot, historyLimit int) (*State, error) {
	if snapshot.Version != SnapshotVersion {
		return nil, errors.Wrapf(errMalformedSnapshot, "unsupported version %d", snapshot.Version)
	}
	if snapshot.AppliedOffset < noOffset {
		return nil, errors.Wrapf(errMalformedSnapshot, "invalid applied offset %d", snapshot.AppliedOffset)
	}
	s := newState(historyLimit)
	s.appliedOffset = snapshot.AppliedOffset
	var err error
	s.history, err = decodeHistory(historyLimit, snapshot.LowWater, snapshot.History)
	if err != nil {
		return nil, err
	}
	err = cmp.Or(
		addObjects(s.accounts, snapshot.Accounts, func(a Account) string { return a.ID }),
		addObjects(s.services, snapshot.Services, func(service Service) string { return service.ID }),
		addObjects(s.servers, snapshot.Servers, func(server Server) string { return server.ID }),
	)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// addObjects adds the objects of the list to the map under their IDs.
func addObjects[T any](objects map[string]Versioned[T], list []Versioned[T], id func(T) string) error {
	for _, object := range list {
		key := id(object.Value)
		if _, exists := objects[key]; exists || key == "" {
			return errors.Wrapf(errMalformedSnapshot, "empty or duplicate ID %q", key)
		}
		objects[key] = object
	}
	return nil
}

// Digest returns the hexadecimal SHA-256 of the state. The applied offset is
// excluded, so records without effect do not change the digest.
func (s *State) Digest() string {
	if s.digest != "" {
		return s.digest
	}
	snapshot := s.Snapshot()
	snapshot.AppliedOffset = 0
	data, err := json.Marshal(snapshot)
	if err != nil {
		return "" // unreachable: all values of a snapshot can be encoded as JSON
	}
	sum := sha256.Sum256(data)
	s.digest = hex.EncodeToString(sum[:])
	return s.digest
}
