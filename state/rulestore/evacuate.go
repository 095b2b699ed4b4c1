package rulestore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"lycheehall.example/lycheehall/state/store"
)

// evacuationKeyPrefix and the name of a data centre form the key of the row that exists while the data
// centre is evacuated.
const evacuationKeyPrefix = "evacuate/"

// maxSetAttempts limits the attempts to change a row that is being changed concurrently.
const maxSetAttempts = 3

// EvacuatedDataCentre returns the data centre that a row of Table marks as evacuated; ok is false for
// other rows. The evacuation is in force as long as the row exists.
func EvacuatedDataCentre(row store.Row) (dataCentre string, ok bool) {
	dataCentre, ok = strings.CutPrefix(row.Key, evacuationKeyPrefix)
	return dataCentre, ok && dataCentre != ""
}

// SetEvacuated starts the evacuation of a data centre, whose targets then get no requests, or ends it
// if inForce is false. It does nothing if the evacuation is already in that state.
func SetEvacuated(ctx context.Context, s store.Store, dataCentre string, inForce bool) error {
	if dataCentre == "" {
		return fmt.Errorf("%w: the name of the data centre is empty", ErrInvalid)
	}
	var err error
	for range maxSetAttempts {
		if err = tryToSetEvacuated(ctx, s, store.ID{Table: Table, Key: evacuationKeyPrefix + dataCentre}, inForce); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	return translateError(err)
}

// tryToSetEvacuated makes one attempt. It returns store.ErrConflict if the row was changed
// concurrently.
func tryToSetEvacuated(ctx context.Context, s store.Store, id store.ID, inForce bool) error {
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
