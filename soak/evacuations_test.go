package soak

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform/standin"
)

var _ = Describe("the check of evacuations", func() {
	start := time.Unix(1000, 0)
	evacuations := []evacuation{{"dc1", interval{start, start.Add(9 * time.Second)}}}
	at := func(dataCentre string, d time.Duration) []standin.Record {
		return []standin.Record{{Request: "a", Target: "t", DataCentre: dataCentre, StartedAt: start.Add(d).UnixNano()}}
	}
	results := map[string]CallResult{"a": {Instance: "i1"}}

	DescribeTable("depends on where and when a request ran, and through which instance", func(runs []standin.Record, disconnected map[string][]interval, violations int) {
		Expect(checkEvacuations(results, runs, evacuations, disconnected)).To(HaveLen(violations))
	},
		Entry("within the allowed delay", at("dc1", evacuationDelay), nil, 0),
		Entry("after the allowed delay", at("dc1", evacuationDelay+time.Millisecond), nil, 1),
		Entry("in another data centre", at("dc2", 6*time.Second), nil, 0),
		Entry("after the evacuation had ended", at("dc1", 10*time.Second), nil, 0),
		Entry("through an instance that was disconnected", at("dc1", 6*time.Second), map[string][]interval{"i1": {{start, start.Add(2 * time.Second)}}}, 0),
		Entry("through an instance that was disconnected long before", at("dc1", 8*time.Second), map[string][]interval{"i1": {{start, start.Add(2 * time.Second)}}}, 1),
		Entry("while another instance was disconnected", at("dc1", 6*time.Second), map[string][]interval{"i2": {{start, start.Add(8 * time.Second)}}}, 1),
	)
})

var _ = Describe("the check of cold targets", func() {
	runs := func(count int, within time.Duration, cold bool) []standin.Record {
		var list []standin.Record
		for i := range count {
			list = append(list, standin.Record{Request: fmt.Sprint(i), Target: "t", Cold: cold, StartedAt: int64(i) * int64(within) / int64(count)})
		}
		return list
	}

	DescribeTable("counts the requests within a second", func(list []standin.Record, violations int) {
		Expect(checkColdRate(list)).To(HaveLen(violations))
	},
		Entry("as many as are allowed", runs(38, time.Second, true), 0),
		Entry("one more than is allowed", runs(39, time.Second, true), 1),
		Entry("one more, over a longer time", runs(39, 1100*time.Millisecond, true), 0),
		Entry("at a warm target", runs(500, time.Second, false), 0),
	)
})
