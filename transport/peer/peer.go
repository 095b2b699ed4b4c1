// Package peer carries the messages between instances over net/rpc.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"

	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/rpc"
)

// ServiceName is the name under which an instance's methods are registered.
const ServiceName = "Instance"

// AuthorityArgs carries a message of the authority protocol.
type AuthorityArgs struct {
	Message authority.Message
	Lamport uint64
}

// Empty is an answer without content, and a question without arguments.
type Empty struct{}

// TimelineReply holds the events that an instance keeps.
type TimelineReply struct{ Events []timeline.Event }

// Service is what an instance answers.
type Service interface {
	Heartbeat(req message.HeartbeatRequest, reply *message.HeartbeatReply) error
	Watch(req message.WatchRequest, reply *message.WatchReply) error
	Authority(args AuthorityArgs, reply *Empty) error
	Propose(p message.Proposal, reply *message.ProposalResult) error
	Status(args Empty, reply *message.Status) error
	Timeline(args Empty, reply *TimelineReply) error
}

// Client makes calls to instances. Watches, which wait, have connections of their own.
type Client struct {
	calls   *rpc.Pool
	watches *rpc.Pool
}

// NewClient returns a client without connections. They are encrypted if cfg is not nil.
func NewClient(secret string, cfg *tls.Config) *Client {
	return &Client{calls: rpc.NewPool(secret, cfg), watches: rpc.NewPool(secret, cfg)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.calls.Close()
	c.watches.Close()
}

func call[R any](ctx context.Context, pool *rpc.Pool, address, method string, args any) (R, error) {
	var reply R
	if err := pool.Call(ctx, address, ServiceName+"."+method, args, &reply); err != nil {
		var none R
		return none, fmt.Errorf("peer: %s: %w", method, err)
	}
	return reply, nil
}

// Heartbeat asks for a session.
func (c *Client) Heartbeat(ctx context.Context, address string, req message.HeartbeatRequest) (message.HeartbeatReply, error) {
	return call[message.HeartbeatReply](ctx, c.calls, address, "Heartbeat", req)
}

// Watch waits for a newer state.
func (c *Client) Watch(ctx context.Context, address string, req message.WatchRequest) (message.WatchReply, error) {
	return call[message.WatchReply](ctx, c.watches, address, "Watch", req)
}

// Authority sends a message of the authority protocol.
func (c *Client) Authority(ctx context.Context, address string, args AuthorityArgs) error {
	_, err := call[Empty](ctx, c.calls, address, "Authority", args)
	return err
}

// Propose asks for a change.
func (c *Client) Propose(ctx context.Context, address string, p message.Proposal) (message.ProposalResult, error) {
	return call[message.ProposalResult](ctx, c.calls, address, "Propose", p)
}

// Status asks what the instance knows about the deployment.
func (c *Client) Status(ctx context.Context, address string) (message.Status, error) {
	return call[message.Status](ctx, c.calls, address, "Status", Empty{})
}

// Timeline asks for the events that the instance keeps.
func (c *Client) Timeline(ctx context.Context, address string) ([]timeline.Event, error) {
	reply, err := call[TimelineReply](ctx, c.calls, address, "Timeline", Empty{})
	return reply.Events, err
}
