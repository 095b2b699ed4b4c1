// Package target gives grants to targets over HTTP.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/protocol/wire"
)

// ErrNoAnswer says that a target did not answer, or answered something else.
var ErrNoAnswer = errors.New("target: no answer")

// Client sends grants.
type Client struct {
	http *http.Client
}

// NewClient returns a client that waits for each answer for at most timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     20 * time.Second,
		},
	}}
}

const maxReply = 64 << 10

// Grant sends a grant to the target at the address.
func (c *Client) Grant(ctx context.Context, address string, g message.Grant) (message.GrantReply, error) {
	var reply message.GrantReply
	body, err := json.Marshal(g)
	if err != nil {
		return reply, fmt.Errorf("target: grant: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.GrantPath, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("target: grant: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return reply, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("%w: %s from %s", ErrNoAnswer, resp.Status, address)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return reply, nil
}

// Reach tries to connect to a target that takes no grants.
func (c *Client) Reach(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: c.http.Timeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return conn.Close()
}
