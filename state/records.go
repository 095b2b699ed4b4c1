package state

import (
	"encoding/json"
	"fmt"
)

// Keys of the rows.
const (
	// KeyAuthority is the row whose holder leads; it is rewritten at each renewal.
	KeyAuthority = "authority"
	// KeyTerm changes only when the leader changes. Every other write is
	// conditional on it, so that a late write of a former leader cannot land.
	KeyTerm = "term"
	// KeyProbe is written to find out whether the table takes writes; its value means
	// nothing.
	KeyProbe = "probe"
	// KeyMap holds the version of the ownership map.
	KeyMap = "map"
	// KeyRules holds the configuration in force.
	KeyRules = "rules"
)

// SlotsKey returns the key of the row with the slots of a service.
func SlotsKey(service string) string { return "slots/" + service }

// RulesHistoryKey returns the key under which a version of the configuration is kept.
func RulesHistoryKey(version uint64) string { return fmt.Sprintf("rules/%d", version) }

// Authority is the row that says who leads. Only named instances (the leader and
// the standbys) may take it.
type Authority struct {
	Leader   string   `json:"leader"`
	Address  string   `json:"address"`
	Term     uint64   `json:"term"`
	Episode  uint64   `json:"episode"`
	Standbys []string `json:"standbys"`
	// Nonce differs in every write, so that a writer recognises its own.
	Nonce uint64 `json:"nonce"`
}

// Named reports whether id is the leader or a standby of this row.
func (a Authority) Named(id string) bool {
	if a.Leader == id {
		return true
	}
	for _, s := range a.Standbys {
		if s == id {
			return true
		}
	}
	return false
}

// Members returns the leader and the standbys.
func (a Authority) Members() []string {
	return append([]string{a.Leader}, a.Standbys...)
}

// Slot is the assignment of one slot. While Next is set the slot is between owners:
// nothing may be sent to Owner any more, and Next does not own it yet.
type Slot struct {
	Owner string `json:"o,omitempty"`
	Next  string `json:"n,omitempty"`
	// Fence is what requests to Owner carry. It grows when the slot is given to Next.
	Fence uint64 `json:"f"`
	// Since is the map version of the last change of this slot.
	Since uint64 `json:"s"`
	// Lost says that the slot moves because its owner was lost: requests under way to
	// it are given up, not waited for.
	Lost bool `json:"l,omitempty"`
}

// Moving reports whether the slot is between owners.
func (s Slot) Moving() bool { return s.Next != "" }

// Target is a target that a service may use.
type Target struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Generation is the map version at which the slots of this target last changed.
	// Grants carry it, so that a target refuses an older set of slots.
	Generation uint64 `json:"generation"`
	// Draining targets keep what they hold until it has moved, and get nothing new.
	Draining bool `json:"draining,omitempty"`
	// Resumed says that the target holds slots back whose move was cut short. It is never
	// stored.
	Resumed bool `json:"-"`
	// Ordered says that an operator asked for the drain, so that it outlives the
	// platform's list.
	Ordered bool `json:"ordered,omitempty"`
}

// ServiceSlots is the row with the slots and targets of one service. A service
// without keys has targets only.
type ServiceSlots struct {
	Service string   `json:"service"`
	Slots   []Slot   `json:"slots"`
	Targets []Target `json:"targets"`
}

// Target returns the target with the given id, or nil.
func (s *ServiceSlots) Target(id string) *Target {
	for i := range s.Targets {
		if s.Targets[i].ID == id {
			return &s.Targets[i]
		}
	}
	return nil
}

// MapHead is the row with the version of the ownership map and the services in it.
type MapHead struct {
	Version  uint64   `json:"version"`
	Services []string `json:"services"`
}

// Rules is the row with the configuration in force, and each row of its history.
type Rules struct {
	Version uint64 `json:"version"`
	// ChangeID names the change, so that a retry after a lost answer is recognised.
	ChangeID string `json:"change_id"`
	Author   string `json:"author,omitempty"`
	Text     string `json:"text"`
	// Recent lists the last changes, the newest last, so that a change whose answer was
	// lost is recognised also after others have followed it.
	Recent []RulesChange `json:"recent,omitempty"`
}

// RulesChange says which version a change became.
type RulesChange struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// MaxRecentChanges bounds Rules.Recent.
const MaxRecentChanges = 64

// Encode returns the stored form of a record.
func Encode(record any) []byte {
	b, err := json.Marshal(record)
	if err != nil {
		// The records are plain structs of this package, which always encode.
		panic(fmt.Sprintf("state: encode %T: %v", record, err))
	}
	return b
}

// Decode fills record from a row. A row that does not exist leaves it untouched.
func Decode(row Row, record any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return fmt.Errorf("state: row %q, version %d: %w", row.Key, row.Version, err)
	}
	return nil
}
