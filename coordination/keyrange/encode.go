package keyrange

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

// encoded is the stored form of a map: each target ID is stored once, and ranges refer to the IDs
// by index. The ranges are in a binary form, which takes about 10 bytes for each; numbers as JSON
// text took 25. A map is stored in one row, and the store takes at most 64 KiB for a row.
type encoded struct {
	Version uint64   `json:"version"`
	Targets []string `json:"targets"`
	// Ranges holds these variable-length integers for each range: the number of keys, the index of
	// the owner, twice the index of the next owner (plus one if Range.Lost is set), and for the
	// owner and the next owner, where there is one, the version of the map minus the fence.
	Ranges []byte `json:"ranges"`
}

// Encode returns the stored form of a map.
func (m *Map) Encode() ([]byte, error) {
	e := encoded{Version: m.Version, Targets: []string{""}}
	indexes := map[string]uint64{"": 0}
	indexOf := func(id string) uint64 {
		i, ok := indexes[id]
		if !ok {
			i = uint64(len(e.Targets))
			indexes[id] = i
			e.Targets = append(e.Targets, id)
		}
		return i
	}
	for _, r := range m.Ranges {
		next := 2 * indexOf(r.Next)
		if r.Lost {
			next++
		}
		e.Ranges = binary.AppendUvarint(e.Ranges, uint64(r.Keys()))
		e.Ranges = binary.AppendUvarint(e.Ranges, indexOf(r.Owner))
		e.Ranges = binary.AppendUvarint(e.Ranges, next)
		if r.Owner != "" {
			e.Ranges = binary.AppendUvarint(e.Ranges, m.Version-r.Fence)
		}
		if r.Next != "" {
			e.Ranges = binary.AppendUvarint(e.Ranges, m.Version-r.NextFence)
		}
	}
	text, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("keyrange: encode map: %w", err)
	}
	return text, nil
}

// ErrInvalid is returned for an encoded map, or a patch, that gives no valid map.
var ErrInvalid = errors.New("keyrange: invalid map")

// Decode decodes the stored form of a map. It returns ErrInvalid if the data is not valid.
func Decode(text []byte) (*Map, error) {
	var e encoded
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d := decoder{encoded: e, rest: e.Ranges}
	m := &Map{Version: e.Version}
	from := uint64(0)
	for len(d.rest) > 0 {
		r, err := d.readRange(from)
		if err != nil {
			return nil, err
		}
		m.Ranges = append(m.Ranges, r)
		from = uint64(r.To) + 1
	}
	if from != MaxKey+1 {
		return nil, fmt.Errorf("%w: ranges end before key %d instead of at the last key", ErrInvalid, from)
	}
	return m, nil
}

// decoder decodes the ranges of the stored form one by one.
type decoder struct {
	encoded
	rest []byte
	// invalid is set when a number could not be decoded.
	invalid bool
}

// readRange decodes the range that begins at the given key.
func (d *decoder) readRange(from uint64) (Range, error) {
	keys, owner, next := d.uvarint(), d.uvarint(), d.uvarint()
	targets := uint64(len(d.Targets))
	if d.invalid || keys == 0 || keys > MaxKey+1-from || owner >= targets || next/2 >= targets {
		return Range{}, fmt.Errorf("%w: range at key %d: bad length or target index", ErrInvalid, from)
	}
	r := Range{
		From: uint16(from), To: uint16(from + keys - 1),
		Owner: d.Targets[owner], Next: d.Targets[next/2], Lost: next%2 == 1,
	}
	if r.Owner != "" {
		r.Fence = d.Version - d.uvarint()
	}
	if r.Next != "" {
		r.NextFence = d.Version - d.uvarint()
	}
	if d.invalid || r.Fence > d.Version || r.NextFence > d.Version {
		return Range{}, fmt.Errorf("%w: range at key %d: bad fence", ErrInvalid, from)
	}
	return r, nil
}

// uvarint decodes one number. If there is none, it returns 0 and sets invalid.
func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.invalid = true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}
