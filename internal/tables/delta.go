package tables

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// WriteID identifies one change of the tables. An editor that lost the store's
// response looks for it in the head to find out whether the change was written.
type WriteID string

// writeIDBytes is the size of a random write id. With 8 bytes a collision among
// the last MaxWriteIDs writes is negligible.
const writeIDBytes = 8

// NewWriteID returns a random write id in hexadecimal.
func NewWriteID() WriteID {
	var b [writeIDBytes]byte
	rand.Read(b[:]) // never fails, see crypto/rand
	return WriteID(hex.EncodeToString(b[:]))
}

// Delta is the change of the tables from Version-1 to Version.
type Delta struct {
	Version Version
	WriteID WriteID
	// Previous is the write id of Version-1, or empty if unknown. It prevents
	// applying the delta to a different history with the same version numbers.
	Previous WriteID
	// Author is the name of the operator, shown in the history.
	Author string
	// Time is when the change was made, in UTC with millisecond precision.
	// Reservations start at it, so that every daemon computes the same ones.
	Time       time.Time
	Operations []Operation
}

// deltaJSON is the JSON form of a Delta.
type deltaJSON struct {
	Version    Version    `json:"version"`
	WriteID    WriteID    `json:"write_id"`
	Previous   WriteID    `json:"previous,omitempty"`
	Author     string     `json:"author,omitempty"`
	Time       time.Time  `json:"time"`
	Operations []envelope `json:"operations"`
}

// MarshalJSON implements json.Marshaler.
func (d Delta) MarshalJSON() ([]byte, error) {
	j := deltaJSON{Version: d.Version, WriteID: d.WriteID, Previous: d.Previous, Author: d.Author, Time: roundTime(d.Time)}
	j.Operations = make([]envelope, len(d.Operations))
	for i, op := range d.Operations {
		j.Operations[i] = pack(op)
	}
	return json.Marshal(j)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Delta) UnmarshalJSON(data []byte) error {
	var j deltaJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	out := Delta{Version: j.Version, WriteID: j.WriteID, Previous: j.Previous, Author: j.Author, Time: roundTime(j.Time)}
	out.Operations = make([]Operation, len(j.Operations))
	for i, e := range j.Operations {
		op, err := e.unpack()
		if err != nil {
			return errors.Wrapf(err, "operation %d of write %q", i, j.WriteID)
		}
		out.Operations[i] = op
	}
	if err := out.check().err(); err != nil {
		return err
	}
	*d = out
	return nil
}

// Encode returns the JSON form, which is used in the head and in messages between
// daemons. It panics if the time cannot be represented in JSON; Apply refuses
// such a delta.
func (d Delta) Encode() []byte { return mustMarshal(d) }

// DecodeDelta parses and checks the JSON form.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := decodeValue(data, &d); err != nil {
		return Delta{}, errors.Wrap(err, "decode delta")
	}
	return d, nil
}

// Maximum lengths of texts in a delta, in bytes.
const (
	maxWriteIDLength = 64
	maxAuthorLength  = 128
)

// Range of Delta.Time. The JSON form of a time ends with the year 9999, and a
// reservation adds ReservationPeriod to the time.
var (
	minTime = time.Unix(0, 0).UTC()
	maxTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
)

// check validates the fields of a delta that do not depend on the tables.
func (d Delta) check() problems {
	var p problems
	e := Entry{Kind: DeltaEntry, Name: string(d.WriteID)}
	if d.Version == 0 {
		p.add(e, RuleDelta, "version is 0")
	}
	if d.WriteID == "" || len(d.WriteID) > maxWriteIDLength {
		p.add(e, RuleDelta, "write id has %d bytes, want 1 to %d", len(d.WriteID), maxWriteIDLength)
	}
	if len(d.Previous) > maxWriteIDLength {
		p.add(e, RuleDelta, "previous write id has %d bytes, want at most %d", len(d.Previous), maxWriteIDLength)
	}
	if len(d.Author) > maxAuthorLength {
		p.add(e, RuleDelta, "author has %d bytes, want at most %d", len(d.Author), maxAuthorLength)
	}
	if d.Time.Before(minTime) || d.Time.After(maxTime) {
		p.add(e, RuleDelta, "time %s is out of range", d.Time)
	}
	if len(d.Operations) == 0 {
		p.add(e, RuleDelta, "no operations")
	}
	return p
}

func roundTime(t time.Time) time.Time { return t.UTC().Truncate(time.Millisecond) }
