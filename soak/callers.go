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

// Outcome is what a caller can conclude from the response to its request.
type Outcome string

// The outcomes of a request.
const (
	// Answered: the caller got a complete response that a target has signed.
	Answered Outcome = "answered"
	// NotExecuted: the response guarantees that the request did not run and never will.
	NotExecuted Outcome = "not run"
	// Unknown: any other response or none; the request may have run.
	Unknown Outcome = "unknown"
)

// CallResult is the result of one request of a caller.
type CallResult struct {
	Outcome Outcome
	Status  int
	// OwnResponse says whether the response has the ID of this request.
	OwnResponse bool
	// Idempotent says whether the request may run twice.
	Idempotent bool
	// Instance is the address that the request was sent to. Sent is the time just before that, and
	// Received the time at which the complete response had arrived.
	Instance       string
	Sent, Received time.Time
	// Leaving says whether the target reported in its response that it is leaving. Limited says whether
	// it reported a limit for all instances together.
	Leaving bool
	Limited bool
}

// Callers make requests continuously and record the results.
type Callers struct {
	addresses []string
	client    *http.Client
	// slowClient is the client of the callers that read slowly.
	slowClient *http.Client
	stop       chan struct{}
	running    sync.WaitGroup

	mu      sync.Mutex
	results map[string]CallResult
}

const (
	// callerCount is the number of callers.
	callerCount = 16
	// keyCount is the number of keys that callers choose from.
	keyCount = 60
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 3 * time.Second
	// callerPause is the time from the response to a request to the next request of the same caller.
	callerPause = 10 * time.Millisecond
)

// NewCallers starts callers, which send requests to random instances of those at the addresses.
func NewCallers(addresses []string) *Callers {
	c := &Callers{
		addresses: addresses, stop: make(chan struct{}), results: map[string]CallResult{},
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}, slowClient: newSlowClient(),
	}
	for n := range callerCount {
		c.running.Go(func() { c.run(n) })
	}
	return c
}

// run makes requests until the callers are stopped. Two of three are bookings.
func (c *Callers) run(n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
		id := fmt.Sprintf("c%d-%d", n, i)
		client, body := c.client, id
		if n%slowCallerEvery == 0 {
			client, body = c.slowClient, slowBody(id)
		}
		result := send(client, c.addresses[rand.IntN(len(c.addresses))], id, body, rand.IntN(keyCount), i%3 != 0)
		c.mu.Lock()
		c.results[id] = result
		c.mu.Unlock()
	}
}

// Call makes one request and returns its result. The request is a booking, or a look-up, which is
// idempotent.
func (c *Callers) Call(address, id string, key int, booking bool) CallResult {
	return send(c.client, address, id, id, key, booking)
}

// send makes one request with the given body, which begins with the ID.
func send(client *http.Client, address, id, body string, key int, booking bool) CallResult {
	method, path := http.MethodGet, "plumbers"
	if booking {
		method, path = http.MethodPost, "bookings"
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/household-%d", address, path, key), strings.NewReader(""))
	if err != nil {
		return CallResult{Outcome: Unknown}
	}
	headers := platform.Headers()
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.Timeout, fmt.Sprint(callerTimeout.Milliseconds()))
	// The HTTP client retries idempotent requests by itself when an idle connection breaks, unless the
	// body cannot be sent again. The result of one attempt would then be taken for that of another.
	req.Body = io.NopCloser(strings.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	result := sendAndClassify(client, req, id, !booking)
	result.Instance = address
	return result
}

// sendAndClassify sends a request and derives the result from the response.
func sendAndClassify(client *http.Client, req *http.Request, id string, idempotent bool) CallResult {
	result := CallResult{Outcome: Unknown, Idempotent: idempotent, Sent: time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result
	}
	result.Received = time.Now()
	result.Leaving = resp.Header.Get(platform.Headers().Leaving) != ""
	result.Limited = resp.Header.Get(platform.Headers().Limit) != ""
	result.Status = resp.StatusCode
	switch signature := resp.Header.Get(platform.Headers().Signature); {
	case signature != "":
		result.Outcome = Answered
		result.OwnResponse = strings.HasSuffix(signature, "."+id) && (idempotent || strings.Contains(string(body), "with "+id+"\n"))
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		result.Outcome = NotExecuted
	}
	return result
}

// Count returns the number of requests with each outcome so far.
func (c *Callers) Count() map[Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[Outcome]int{}
	for _, result := range c.results {
		counts[result.Outcome]++
	}
	return counts
}

// Finish stops the callers and returns the results of all requests by their IDs.
func (c *Callers) Finish() map[string]CallResult {
	close(c.stop)
	c.running.Wait()
	return c.results
}
