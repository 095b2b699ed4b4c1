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
	evacuations := []evacuation{{"dc1", span{start, start.Add(9 * time.Second)}}}
	at := func(dataCentre string, d time.Duration) []standin.Record {
		return []standin.Record{{Request: "a", Target: "t", DataCentre: dataCentre, Begun: start.Add(d).UnixNano()}}
	}
	told := map[string]Told{"a": {Instance: "i1"}}

	DescribeTable("looks at where and when a request ran", func(runs []standin.Record, outOfTouch map[string][]span, wrong int) {
		Expect(checkEvacuations(told, runs, evacuations, outOfTouch)).To(HaveLen(wrong))
	},
		Entry("soon after", at("dc1", evacuateWithin), nil, 0),
		Entry("too late", at("dc1", evacuateWithin+time.Millisecond), nil, 1),
		Entry("in another data centre", at("dc2", 6*time.Second), nil, 0),
		Entry("after it was taken back", at("dc1", 10*time.Second), nil, 0),
		Entry("through an instance that was out of touch", at("dc1", 6*time.Second), map[string][]span{"i1": {{start, start.Add(2 * time.Second)}}}, 0),
		Entry("through one that was long before", at("dc1", 8*time.Second), map[string][]span{"i1": {{start, start.Add(2 * time.Second)}}}, 1),
		Entry("while another one was", at("dc1", 6*time.Second), map[string][]span{"i2": {{start, start.Add(8 * time.Second)}}}, 1),
	)
})

var _ = Describe("the check of cold targets", func() {
	runs := func(count int, within time.Duration, cold bool) []standin.Record {
		var list []standin.Record
		for i := range count {
			list = append(list, standin.Record{Request: fmt.Sprint(i), Target: "t", Cold: cold, Begun: int64(i) * int64(within) / int64(count)})
		}
		return list
	}

	DescribeTable("counts what comes within a second", func(list []standin.Record, wrong int) {
		Expect(checkCold(list)).To(HaveLen(wrong))
	},
		Entry("what it bears", runs(38, time.Second, true), 0),
		Entry("one more", runs(39, time.Second, true), 1),
		Entry("in a longer time", runs(39, 1100*time.Millisecond, true), 0),
		Entry("a warm one", runs(500, time.Second, false), 0),
	)
})
