package instance_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

// Guards against an instance that exits, or no longer follows the registry, because of an entry that no
// target wrote.
var _ = It("an instance follows the registry beside odd entries", func() {
	const nesting = 100_000
	usual := func(address string) string {
		return fmt.Sprintf(`{"address": %q, "info": {"service": "bookings", "zone": "dc1", "slots": 4}, "status": {"state": "ready"}}`, address)
	}
	d := startLocal(GinkgoTB(), "")
	for n, entry := range []string{
		strings.Repeat("[", nesting), strings.Repeat("[", nesting) + strings.Repeat("]", nesting),
		strings.Repeat(`{"info":`, nesting) + "1" + strings.Repeat("}", nesting),
		strings.Replace(usual("127.0.0.1:9"), `"ready"`, `"ready", "seq-no": `+strings.Repeat("[", nesting)+strings.Repeat("]", nesting), 1),
		strings.Replace(usual("127.0.0.1:9"), "4", "1e400", 1), strings.Replace(usual("127.0.0.1:9"), "4", "99999999999999999999", 1),
		strings.Replace(usual("127.0.0.1:9"), "{", `{"born": -99999999999999999999, `, 1),
		strings.Replace(usual("127.0.0.1:9"), `"ready"`, `"ready", "cold-remaining": "99999999999999999999s"`, 1),
		usual("127.0.0.1:65536"), usual("127.0.0.1:-1"), usual("127.0.0.1:0"), usual("127.0.0.1:99999999999999999999"), usual(":::"),
		"", "null", "0", "\x00", `"` + strings.Repeat("x", 1<<18),
	} {
		d.store.PutRaw(platform.TargetTable, fmt.Sprint("odd-", n), []byte(entry))
	}
	next := standin.NewTarget("t2", "bookings", true)
	next.Slots = 1000
	Expect(d.store.Put(platform.TargetTable, "t2", next.Entry(serveLocal(GinkgoTB(), next.Handler()), "dc1", false))).To(Succeed())
	ran := func() int {
		for key := range 20 {
			resp, err := http.Get(fmt.Sprintf("http://%s/plumbers/h-%d", d.callers, key))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		return len(next.Runs())
	}
	Eventually(ran, "10s", "100ms").Should(BeNumerically(">", 0))
	_, status := callAdmin(d.operators, "GET", "/v1/status", "", testSecret)
	Expect(status).To(ContainSubstring(`"t2`))
	Expect(status).NotTo(ContainSubstring("odd-"))
})
