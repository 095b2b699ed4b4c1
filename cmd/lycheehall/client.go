package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/transport/admin"
)

// client calls the operator API of an instance.
type client struct {
	base  string
	token string
	http  *http.Client
}

// requestTimeout limits one request, including the store write that a change waits for.
const requestTimeout = 10 * time.Second

func newClient(o *options) *client {
	return &client{base: "http://" + o.admin, token: o.token, http: &http.Client{Timeout: requestTimeout}}
}

func (c *client) get(path string, result any) error { return c.do(http.MethodGet, path, nil, result) }

// do sends a request, with body encoded as JSON unless it is nil, and decodes the response into result.
// A response with another status than 200 is returned as an error with its exit code. When no
// response arrives for anything but a GET, the exit code is exitUncertain, unless the connection was
// refused: the change may have been made.
func (c *client) do(method, path string, body, result any) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("lycheehall: encode the request: %w", err)
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, c.base+path, in)
	if err != nil {
		return fmt.Errorf("lycheehall: make the request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		code := exitFailed
		if method != http.MethodGet && !errors.Is(err, syscall.ECONNREFUSED) {
			code = exitUncertain
		}
		return exitErrorf(code, "lycheehall: no response from %s: %w", c.base, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return fmt.Errorf("lycheehall: the response cannot be decoded: %w", err)
	}
	return nil
}

// exitCodes maps the code of an admin.Result to an exit code. Codes not listed give exitFailed.
var exitCodes = map[string]int{
	"invalid":   exitInvalid,
	"conflict":  exitConflict,
	"uncertain": exitUncertain,
}

// responseError turns a response that is not OK into an error with its exit code.
func responseError(resp *http.Response) error {
	var r admin.Result
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Code == "" {
		return exitErrorf(exitFailed, "lycheehall: unexpected response: %s", resp.Status)
	}
	code, listed := exitCodes[r.Code]
	if !listed {
		code = exitFailed
	}
	if r.Code == "conflict" {
		return exitErrorf(code, "%s\nversion %d is in force; run show to see it, then apply with --base %d", r.Error, r.Version, r.Version)
	}
	return exitErrorf(code, "%s", r.Error)
}
