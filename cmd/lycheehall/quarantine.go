package main

import (
	"fmt"
	"time"

	"lycheehall.example/lycheehall/transport/admin"
)

func runQuarantine(c *client, o *options) error {
	var list []admin.QuarantinedRequest
	if err := c.get("/v1/quarantine", &list); err != nil {
		return err
	}
	if o.json {
		return printJSON(list)
	}
	for _, q := range list {
		fmt.Printf("%-16s %d targets ended, %d callers, last at %s, until %s\n",
			q.Fingerprint, q.Targets, q.Callers, q.LastCrash.Format(time.RFC3339), q.Until.Format(time.RFC3339))
	}
	return nil
}

func runRelease(c *client, o *options) error {
	var result admin.Result
	if err := c.do("POST", "/v1/quarantine/release", admin.ReleaseRequest{Fingerprint: o.fingerprint}, &result); err != nil {
		return err
	}
	return printResult(o, result, "released %s; all instances know within a second\n", o.fingerprint)
}
