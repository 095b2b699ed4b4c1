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

// everything is what an instance that knows nothing is told of targets, maps and instances.
type everything struct {
	Targets   []view.Target
	Maps      map[string]mapTold
	Instances []view.Instance
}

type mapTold struct {
	Version uint64
	Ranges  []keyrange.Range
}

// mostEverything bounds what is unpacked of an answer, in bytes. 10,000 targets, as many ranges and
// 4,000 instances are 2 MB.
const mostEverything = 16 << 20

// wholeTold keeps what was last told to instances that knew nothing. They come by the hundred, and encoding
// everything for each of them would have the last one wait for all others. The lock of told guards it.
type wholeTold struct {
	digest    uint64
	instances view.InstancesVersion
	maps      map[string]uint64
	text      []byte
}

// whole returns everything in a snapshot, encoded and compressed.
func (t *told) whole(s *view.Snapshot, now clock.Instant) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := map[string]uint64{}
	for service, m := range s.Maps {
		versions[service] = m.Version
	}
	last := &t.everything
	if last.text != nil && last.digest == s.TargetsDigest && last.instances == s.InstancesVersion && maps.Equal(last.maps, versions) {
		return last.text, nil
	}
	text, err := encodeEverything(s, now)
	if err != nil {
		return nil, err
	}
	*last = wholeTold{s.TargetsDigest, s.InstancesVersion, versions, text}
	return text, nil
}

func encodeEverything(s *view.Snapshot, now clock.Instant) ([]byte, error) {
	all := everything{Maps: map[string]mapTold{}, Instances: s.Instances}
	for _, target := range s.Targets {
		all.Targets = append(all.Targets, target.ForSync(now))
	}
	for service, m := range s.Maps {
		all.Maps[service] = mapTold{m.Version, m.Ranges}
	}
	var text bytes.Buffer
	packed, err := flate.NewWriter(&text, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("lead: encode everything: %w", err)
	}
	if err := gob.NewEncoder(packed).Encode(all); err != nil {
		return nil, fmt.Errorf("lead: encode everything: %w", err)
	}
	if err := packed.Close(); err != nil {
		return nil, fmt.Errorf("lead: encode everything: %w", err)
	}
	return text.Bytes(), nil
}

// unpack puts what an answer tells as a whole into its other fields.
func unpack(reply *peerapi.SyncReply) error {
	if reply.Whole == nil {
		return nil
	}
	var all everything
	packed := io.LimitReader(flate.NewReader(bytes.NewReader(reply.Whole)), mostEverything)
	if err := gob.NewDecoder(packed).Decode(&all); err != nil {
		return fmt.Errorf("lead: decode everything: %w", err)
	}
	reply.Targets, reply.TargetsWhole = all.Targets, true
	reply.Instances, reply.InstancesWhole = all.Instances, true
	reply.Maps = map[string]peerapi.MapUpdate{}
	for service, m := range all.Maps {
		reply.Maps[service] = peerapi.MapUpdate{Version: m.Version, Changed: m.Ranges}
	}
	return nil
}
