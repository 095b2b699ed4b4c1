package keyrange

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

// encoded is the stored form: targets are named once, ranges refer to them by place. A range
// takes about 10 bytes, where numbers written as text took 25: a map is one row, of which the
// store takes 64 KiB.
type encoded struct {
	Version uint64   `json:"version"`
	Targets []string `json:"targets"`
	// Ranges holds for each range its number of keys, then the places of owner and next
	// owner, then the fences, where there are such owners, counted back from the version,
	// all as variable-length integers. The place of the next owner is doubled, and one is
	// added if the owner is lost.
	Ranges []byte `json:"ranges"`
}

// Encode returns the stored form of a map.
func (m *Map) Encode() ([]byte, error) {
	e := encoded{Version: m.Version, Targets: []string{""}}
	places := map[string]uint64{"": 0}
	place := func(id string) uint64 {
		p, ok := places[id]
		if !ok {
			p = uint64(len(e.Targets))
			places[id] = p
			e.Targets = append(e.Targets, id)
		}
		return p
	}
	for _, r := range m.Ranges {
		next := 2 * place(r.Next)
		if r.Lost {
			next++
		}
		e.Ranges = binary.AppendUvarint(e.Ranges, uint64(r.Keys()))
		e.Ranges = binary.AppendUvarint(e.Ranges, place(r.Owner))
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
		return nil, fmt.Errorf("keyrange: encode: %w", err)
	}
	return text, nil
}

// ErrInvalid says that a stored map cannot be one that Encode made.
var ErrInvalid = errors.New("keyrange: invalid map")

// Decode reads the stored form.
func Decode(text []byte) (*Map, error) {
	var e encoded
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d := decoder{encoded: e, rest: e.Ranges}
	m := &Map{Version: e.Version}
	from := uint64(0)
	for len(d.rest) > 0 {
		r, err := d.next(from)
		if err != nil {
			return nil, err
		}
		m.Ranges = append(m.Ranges, r)
		from = uint64(r.To) + 1
	}
	if from != MaxKey+1 {
		return nil, fmt.Errorf("%w: it ends at %d", ErrInvalid, from)
	}
	return m, nil
}

type decoder struct {
	encoded
	rest []byte
	bad  bool
}

// next reads the range that begins at a key.
func (d *decoder) next(from uint64) (Range, error) {
	keys, owner, next := d.number(), d.number(), d.number()
	known := uint64(len(d.Targets))
	if d.bad || keys == 0 || keys > MaxKey+1-from || owner >= known || next/2 >= known {
		return Range{}, fmt.Errorf("%w: at key %d", ErrInvalid, from)
	}
	r := Range{
		From: uint16(from), To: uint16(from + keys - 1),
		Owner: d.Targets[owner], Next: d.Targets[next/2], Lost: next%2 == 1,
	}
	if r.Owner != "" {
		r.Fence = d.Version - d.number()
	}
	if r.Next != "" {
		r.NextFence = d.Version - d.number()
	}
	if d.bad || r.Fence > d.Version || r.NextFence > d.Version {
		return Range{}, fmt.Errorf("%w: at key %d", ErrInvalid, from)
	}
	return r, nil
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.bad = true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}
