package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/platform"
)

// Outcome is what a caller may conclude from the answer to its request.
type Outcome string

// The outcomes.
const (
	// Answered: a whole answer that a target has signed.
	Answered Outcome = "answered"
	// NotRun: the promise that the request did not run and never will.
	NotRun Outcome = "not run"
	// Unknown: anything else.
	Unknown Outcome = "unknown"
)

// Told is what a caller was told about one request.
type Told struct {
	Outcome Outcome
	Status  int
	// Own says that the answer names the request.
	Own bool
	// Twice says that the request may run twice.
	Twice bool
	// Instance is the address that it was sent to, Sent when, and Heard when the answer was there.
	Instance    string
	Sent, Heard time.Time
	// Leaving says that the target said with its answer that it leaves, Limited that it named a limit for
	// all instances together.
	Leaving bool
	Limited bool
}

// Callers make requests all the time and remember what they are told.
type Callers struct {
	addresses []string
	client    *http.Client
	stop      chan struct{}
	running   sync.WaitGroup

	mu   sync.Mutex
	told map[string]Told
}

const (
	// callerCount is how many callers there are.
	callerCount = 16
	// callerKeys is how many households they ask for.
	callerKeys = 60
	// callerTimeout is how long a caller waits.
	callerTimeout = 3 * time.Second
	// callerPause is the time between a caller's requests.
	callerPause = 10 * time.Millisecond
)

// NewCallers starts callers of the instances at the addresses.
func NewCallers(addresses []string) *Callers {
	c := &Callers{
		addresses: addresses, stop: make(chan struct{}), told: map[string]Told{},
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
	}
	for n := range callerCount {
		c.running.Go(func() { c.run(n) })
	}
	return c
}

func (c *Callers) run(n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
		id := fmt.Sprintf("c%d-%d", n, i)
		t := c.Ask(c.addresses[rand.IntN(len(c.addresses))], id, rand.IntN(callerKeys), i%3 != 0)
		c.mu.Lock()
		c.told[id] = t
		c.mu.Unlock()
	}
}

// Ask makes one request: a booking, or a look-up, which may run twice.
func (c *Callers) Ask(address, id string, key int, booking bool) Told {
	method, path := http.MethodGet, "plumbers"
	if booking {
		method, path = http.MethodPost, "bookings"
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/household-%d", address, path, key), strings.NewReader(""))
	if err != nil {
		return Told{Outcome: Unknown}
	}
	names := platform.Headers()
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Timeout, fmt.Sprint(callerTimeout.Milliseconds()))
	// The HTTP client repeats requests by itself when a kept connection breaks, look-ups too, unless their
	// body cannot be sent again. What one of the two was told would then be taken for the other.
	req.Body = io.NopCloser(strings.NewReader(id))
	req.ContentLength = int64(len(id))
	req.GetBody = nil
	t := conclude(c.client, req, id, !booking)
	t.Instance = address
	return t
}

func conclude(client *http.Client, req *http.Request, id string, twice bool) Told {
	t := Told{Outcome: Unknown, Twice: twice, Sent: time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return t
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return t
	}
	t.Heard = time.Now()
	t.Leaving = resp.Header.Get(platform.Headers().Leaving) != ""
	t.Limited = resp.Header.Get(platform.Headers().Limit) != ""
	t.Status = resp.StatusCode
	switch signature := resp.Header.Get(platform.Headers().Signature); {
	case signature != "":
		t.Outcome = Answered
		t.Own = strings.HasSuffix(signature, "."+id) && (twice || strings.Contains(string(body), "with "+id+"\n"))
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		t.Outcome = NotRun
	}
	return t
}

// Count returns how many requests had each outcome so far.
func (c *Callers) Count() map[Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[Outcome]int{}
	for _, t := range c.told {
		counts[t.Outcome]++
	}
	return counts
}

// Finish ends the callers and returns what they were told.
func (c *Callers) Finish() map[string]Told {
	close(c.stop)
	c.running.Wait()
	return c.told
}
