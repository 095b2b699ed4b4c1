package rulestore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"lycheehall.example/lycheehall/state/store"
)

// evacuateKey stands before the name of a data centre in the key of the row that asks to evacuate it.
const evacuateKey = "evacuate/"

// evacuateTries bounds the tries to change a row that somebody else changes too.
const evacuateTries = 3

// EvacuatedDataCentre returns the data centre that a row of Table asks to evacuate, as long as the row is there.
func EvacuatedDataCentre(row store.Row) (dataCentre string, ok bool) {
	dataCentre, ok = strings.CutPrefix(row.Key, evacuateKey)
	return dataCentre, ok && dataCentre != ""
}

// Evacuate asks that nothing be sent to the targets of a data centre, or takes that back. It is done
// when it was so before.
func Evacuate(ctx context.Context, s store.Store, dataCentre string, inForce bool) error {
	if dataCentre == "" {
		return fmt.Errorf("%w: the data centre has no name", ErrInvalid)
	}
	var err error
	for range evacuateTries {
		if err = evacuateOnce(ctx, s, store.ID{Table: Table, Key: evacuateKey + dataCentre}, inForce); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	return turned(err)
}

func evacuateOnce(ctx context.Context, s store.Store, id store.ID, inForce bool) error {
	rows, _, err := s.Scan(ctx, Table, "")
	if err != nil {
		return err
	}
	version := uint64(0)
	for _, row := range rows {
		if row.Key == id.Key {
			version = row.Version
		}
	}
	if inForce == (version != 0) {
		return nil
	}
	txn := store.Txn{Expect: []store.Expect{{ID: id, Version: version}}}
	if inForce {
		txn.Writes = []store.Write{{ID: id, Value: []byte("{}")}}
	} else {
		txn.Remove = []store.ID{id}
	}
	_, err = s.Commit(ctx, txn)
	return err
}
