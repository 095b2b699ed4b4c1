package main

import "lycheehall.example/lycheehall/transport/admin"

func runEvacuate(c *client, o *options) error {
	var result admin.Result
	if err := c.do("POST", "/v1/evacuations", admin.EvacuateRequest{DataCentre: o.dataCentre, End: o.over}, &result); err != nil {
		return err
	}
	if o.over {
		return report(o, result, "%s is taken back; its targets get requests as they warm up\n", o.dataCentre)
	}
	return report(o, result, "nothing new is sent to %s, and nothing at all in a few seconds\n", o.dataCentre)
}
