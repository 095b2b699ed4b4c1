package main

import "lycheehall.example/lycheehall/transport/admin"

// runEvacuate starts or ends the evacuation of a data centre.
func runEvacuate(c *client, o *options) error {
	var result admin.Result
	if err := c.do("POST", "/v1/evacuations", admin.EvacuateRequest{DataCentre: o.dataCentre, End: o.endEvacuation}, &result); err != nil {
		return err
	}
	if o.endEvacuation {
		return printResult(o, result, "%s is taken back; its targets get requests as they warm up\n", o.dataCentre)
	}
	return printResult(o, result, "nothing new is sent to %s, and nothing at all in a few seconds\n", o.dataCentre)
}
