package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
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
	// Part says whether the body is shorter than the target says.
	Part bool
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
	// pipeliningCount is the number of further callers, which pipeline.
	pipeliningCount = 4
	// maxPipelined is the largest number of requests that are pipelined together.
	maxPipelined = 6
	// pipelinedBookings is one in how many pipelined requests is a booking, and leavingCallers one in
	// how many times the caller closes the connection without reading the responses.
	pipelinedBookings = 8
	leavingCallers    = 10
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
	for n := range pipeliningCount {
		c.running.Go(func() { c.runPipelining(n) })
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

// runPipelining pipelines requests until the callers are stopped.
func (c *Callers) runPipelining(n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
		requests := make([]pipelinedRequest, 1+rand.IntN(maxPipelined))
		for k := range requests {
			requests[k] = pipelinedRequest{fmt.Sprintf("p%d-%d-%d", n, i, k), rand.IntN(keyCount), rand.IntN(pipelinedBookings) == 0}
		}
		results := callPipelined(c.addresses[rand.IntN(len(c.addresses))], requests, rand.IntN(leavingCallers) == 0)
		c.mu.Lock()
		for k, r := range requests {
			c.results[r.id] = results[k]
		}
		c.mu.Unlock()
	}
}

// pipelinedRequest is a request for a key: a booking or a look-up.
type pipelinedRequest struct {
	id      string
	key     int
	booking bool
}

// text returns the request as it is sent. A look-up has no body, so that it can be served beside others.
func (r pipelinedRequest) text(address string) string {
	headers := platform.Headers()
	common := fmt.Sprintf("/household-%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		r.key, address, headers.RequestID, r.id, headers.Timeout, callerTimeout.Milliseconds())
	if r.booking {
		return fmt.Sprintf("POST /bookings%sContent-Length: %d\r\n\r\n%s", common, len(r.id), r.id)
	}
	return "GET /plumbers" + common + "\r\n"
}

// callPipelined sends requests on a connection of their own without waiting for responses, the second
// half of them a moment later, and returns their results. If leave is set, the connection is closed
// before any response is read.
func callPipelined(address string, requests []pipelinedRequest, leave bool) []CallResult {
	results := make([]CallResult, len(requests))
	for k, r := range requests {
		results[k] = CallResult{Outcome: Unknown, Idempotent: !r.booking, Instance: address, Sent: time.Now()}
	}
	conn, err := net.DialTimeout("tcp", address, callerTimeout)
	if err != nil {
		return results
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return results
	}
	for k, r := range requests {
		if k == len(requests)/2 {
			time.Sleep(time.Duration(rand.Int64N(int64(callerPause))))
		}
		if _, err := io.WriteString(conn, r.text(address)); err != nil {
			// Responses to the requests in front may have arrived.
			break
		}
	}
	if leave {
		return results
	}
	reader := bufio.NewReader(conn)
	for k, r := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return results
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return results
		}
		results[k].classify(resp, string(body), r.id)
		// checkLimits compares the time with that of other limits, and this response may have waited for
		// those in front of it.
		results[k].Limited = false
		if resp.Close {
			// The requests behind a response that closes the connection have not been read.
			for behind := k + 1; behind < len(results); behind++ {
				results[behind].Outcome = NotExecuted
			}
			return results
		}
	}
	return results
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
	result.classify(resp, string(body), id)
	return result
}

// classify sets the result from the complete response to the request with the ID.
func (r *CallResult) classify(resp *http.Response, body, id string) {
	r.Received = time.Now()
	r.Leaving = resp.Header.Get(platform.Headers().Leaving) != ""
	r.Limited = resp.Header.Get(platform.Headers().Limit) != ""
	r.Status = resp.StatusCode
	if length := resp.Header.Get(standin.BodyLengthHeader); length != "" && length != strconv.Itoa(len(body)) {
		r.Part = true
	}
	switch signature := resp.Header.Get(platform.Headers().Signature); {
	case signature != "":
		r.Outcome = Answered
		r.OwnResponse = strings.HasSuffix(signature, "."+id) && (r.Idempotent || strings.Contains(body, "with "+id+"\n"))
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		r.Outcome = NotExecuted
	}
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
