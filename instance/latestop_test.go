package instance_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
)

// bookUntilClosed sends one booking after the other on a connection until the instance closes it. It
// returns the status of each; 0 if there was no complete response.
func bookUntilClosed(address, caller string, pause time.Duration) map[string]int {
	statuses := map[string]int{}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return statuses
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", caller, n)
		statuses[id] = 0
		_, err := fmt.Fprintf(conn, "POST /bookings/h-%s HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", id, platform.Headers().RequestID, id, len(id), id)
		if err != nil {
			return statuses
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return statuses
		}
		statuses[id] = resp.StatusCode
		if resp.Close {
			return statuses
		}
		time.Sleep(pause)
	}
}

// Guards against requests that are taken late in the grace period of a planned stop, passed on, and cut
// at its end without an answer. The target works so long that it could not finish requests that are
// taken until the load balancer has removed the instance.
var _ = It("an instance that stops answers each request that it has passed on", func() {
	s := settings.Default()
	s.Grace = settings.Duration(4 * time.Second)
	d := startLocalWith(GinkgoTB(), "", s, 1500*time.Millisecond)
	var mu sync.Mutex
	statuses := map[string]int{}
	var callers sync.WaitGroup
	start := func(name string) {
		callers.Go(func() {
			defer GinkgoRecover()
			for id, status := range bookUntilClosed(d.callers, name, 10*time.Millisecond) {
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			}
		})
	}
	for n := range 20 {
		start(fmt.Sprint("kept-", n))
		time.Sleep(50 * time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.instance.Stop(context.Background())
	}()
	for n, stopping := 0, true; stopping; n++ {
		start(fmt.Sprint("new-", n))
		select {
		case <-stopped:
			stopping = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	callers.Wait()
	resp, err := http.Get("http://" + d.target + "/standin/runs")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var runs []standin.Run
	Expect(json.NewDecoder(resp.Body).Decode(&runs)).To(Succeed())
	counts := map[int]int{}
	for _, r := range runs {
		if r.Method == http.MethodPost {
			counts[statuses[r.Request]]++
		}
	}
	Expect(counts).To(HaveKey(200))
	Expect(counts).To(HaveLen(1), "requests that ran, by status; 0 is no answer: %v", counts)
	refused := 0
	for _, status := range statuses {
		if status == 503 {
			refused++
		}
	}
	Expect(refused).To(BeNumerically(">", 0), "requests that came too late")
})
