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

// requestTimeout bounds one request, including the store write that a change waits for.
const requestTimeout = 10 * time.Second

func newClient(o *options) *client {
	return &client{base: "http://" + o.admin, token: o.token, http: &http.Client{Timeout: requestTimeout}}
}

func (c *client) get(path string, reply any) error { return c.do(http.MethodGet, path, nil, reply) }

// do sends a request, with body encoded as JSON unless it is nil, and decodes the response into
// reply. A response with another status than 200 is returned as an error with its exit code. When
// no response arrives for anything but a GET, the exit code is exitUncertain, unless the connection
// was refused: the change may have been made.
func (c *client) do(method, path string, body, reply any) error {
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
		return exitErrorf(code, "lycheehall: no answer from %s: %w", c.base, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
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
	code, known := exitCodes[r.Code]
	if !known {
		code = exitFailed
	}
	if r.Code == "conflict" {
		return exitErrorf(code, "%s\nthe newest version is %d; see what changed with show, and apply with --base %d", r.Error, r.Version, r.Version)
	}
	return exitErrorf(code, "%s", r.Error)
}
