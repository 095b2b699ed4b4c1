package lead

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"maps"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// fullState contains the targets, maps and instances for an instance that has no state.
type fullState struct {
	Targets   []view.Target
	Maps      map[string]mapState
	Instances []view.Instance
}

type mapState struct {
	Version uint64
	Ranges  []keyrange.Range
}

// maxFullStateBytes limits the unpacked size of a full state, in bytes. 10,000 targets, as many
// ranges and 4,000 instances take 2 MB.
const maxFullStateBytes = 16 << 20

// fullStateCache caches the last encoded full state. Hundreds of instances may start together; if
// it were encoded for each of them, the last one would wait for all others. The lock of history
// guards it.
type fullStateCache struct {
	digest    uint64
	instances view.InstancesVersion
	maps      map[string]uint64
	text      []byte
}

// encodedFullState returns the full state of a snapshot, encoded and compressed.
func (h *history) encodedFullState(s *view.Snapshot, now clock.Instant) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := map[string]uint64{}
	for service, m := range s.Maps {
		versions[service] = m.Version
	}
	last := &h.fullState
	if last.text != nil && last.digest == s.TargetsDigest && last.instances == s.InstancesVersion && maps.Equal(last.maps, versions) {
		return last.text, nil
	}
	text, err := encodeFullState(s, now)
	if err != nil {
		return nil, err
	}
	*last = fullStateCache{s.TargetsDigest, s.InstancesVersion, versions, text}
	return text, nil
}

func encodeFullState(s *view.Snapshot, now clock.Instant) ([]byte, error) {
	all := fullState{Maps: map[string]mapState{}, Instances: s.Instances}
	for _, target := range s.Targets {
		all.Targets = append(all.Targets, target.ForSync(now))
	}
	for service, m := range s.Maps {
		all.Maps[service] = mapState{m.Version, m.Ranges}
	}
	var text bytes.Buffer
	packed, err := flate.NewWriter(&text, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("lead: encode the full state: %w", err)
	}
	if err := gob.NewEncoder(packed).Encode(all); err != nil {
		return nil, fmt.Errorf("lead: encode the full state: %w", err)
	}
	if err := packed.Close(); err != nil {
		return nil, fmt.Errorf("lead: encode the full state: %w", err)
	}
	return text.Bytes(), nil
}

// unpackFullState decodes the full state in a reply into the reply's other fields.
func unpackFullState(reply *peerapi.SyncReply) error {
	if reply.Whole == nil {
		return nil
	}
	var all fullState
	packed := io.LimitReader(flate.NewReader(bytes.NewReader(reply.Whole)), maxFullStateBytes)
	if err := gob.NewDecoder(packed).Decode(&all); err != nil {
		return fmt.Errorf("lead: decode the full state: %w", err)
	}
	reply.Targets, reply.TargetsWhole = all.Targets, true
	reply.Instances, reply.InstancesWhole = all.Instances, true
	reply.Maps = map[string]peerapi.MapUpdate{}
	for service, m := range all.Maps {
		reply.Maps[service] = peerapi.MapUpdate{Version: m.Version, Changed: m.Ranges}
	}
	return nil
}
