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

// client talks to an instance's operator listener.
type client struct {
	base  string
	token string
	http  *http.Client
}

// callTimeout bounds one call; a change waits for the table inside it.
const callTimeout = 10 * time.Second

func newClient(o *options) *client {
	return &client{base: "http://" + o.admin, token: o.token, http: &http.Client{Timeout: callTimeout}}
}

func (c *client) get(path string, reply any) error { return c.do(http.MethodGet, path, nil, reply) }

// do makes a call and decodes its answer. An answer that is an error comes back as one,
// with the exit code that belongs to it.
func (c *client) do(method, path string, body, reply any) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("lycheehall: %w", err)
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, c.base+path, in)
	if err != nil {
		return fmt.Errorf("lycheehall: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		code := exitFailed
		if method != http.MethodGet && !errors.Is(err, syscall.ECONNREFUSED) {
			code = exitUncertain
		}
		return failf(code, "lycheehall: no answer from %s: %w", c.base, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return fmt.Errorf("lycheehall: the answer cannot be read: %w", err)
	}
	return nil
}

// exitCodes maps the codes of a Result.
var exitCodes = map[string]int{
	"invalid":   exitInvalid,
	"conflict":  exitConflict,
	"uncertain": exitUncertain,
}

func refused(resp *http.Response) error {
	var r admin.Result
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Code == "" {
		return failf(exitFailed, "lycheehall: %s", resp.Status)
	}
	code, known := exitCodes[r.Code]
	if !known {
		code = exitFailed
	}
	if r.Code == "conflict" {
		return failf(code, "%s\nthe newest version is %d; see what changed with show, and apply with --base %d", r.Error, r.Version, r.Version)
	}
	return failf(code, "%s", r.Error)
}
