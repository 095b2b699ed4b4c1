// Package platform reaches the platform's table service and its list of machines over
// net/rpc, and serves them, for the stand-in that takes the platform's place.
package platform

import (
	"context"
	"errors"
	"fmt"

	netrpc "net/rpc"

	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/transport/rpc"
)

// ServiceName is the name under which the platform's methods are registered.
const ServiceName = "Platform"

// Client is a state.Table and a state.Directory at an address.
type Client struct {
	address string
	pool    *rpc.Pool
}

var (
	_ state.Table     = (*Client)(nil)
	_ state.Directory = (*Client)(nil)
)

// NewClient returns a client of the platform at the address.
func NewClient(address string, pool *rpc.Pool) *Client {
	return &Client{address: address, pool: pool}
}

// GetArgs and GetReply carry Table.Get.
type (
	GetArgs  struct{ Keys []string }
	GetReply struct{ Rows []state.Row }
)

// CommitReply carries the result of Table.Commit.
type CommitReply struct{ Conflict bool }

// MembersArgs and MembersReply carry Directory.Members.
type (
	MembersArgs  struct{}
	MembersReply struct{ Members []state.Member }
)

// AnnounceArgs and AnnounceReply tell the stand-in of a machine that has started. The
// machine lives as long as the connection that announced it.
type (
	AnnounceArgs  struct{ Member state.Member }
	AnnounceReply struct{}
)

// Get reads rows.
func (c *Client) Get(ctx context.Context, keys []string) ([]state.Row, error) {
	var reply GetReply
	if err := c.pool.Call(ctx, c.address, ServiceName+".Get", GetArgs{keys}, &reply); err != nil {
		return nil, fmt.Errorf("platform: get: %w", err)
	}
	return reply.Rows, nil
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn state.Txn) error {
	var reply CommitReply
	err := c.pool.Call(ctx, c.address, ServiceName+".Commit", txn, &reply)
	switch {
	case err != nil:
		return fmt.Errorf("platform: commit: %w: %w", state.ErrUnknown, err)
	case reply.Conflict:
		return state.ErrConflict
	}
	return nil
}

// Members reads the list of machines.
func (c *Client) Members(ctx context.Context) ([]state.Member, error) {
	var reply MembersReply
	if err := c.pool.Call(ctx, c.address, ServiceName+".Members", MembersArgs{}, &reply); err != nil {
		return nil, fmt.Errorf("platform: members: %w", err)
	}
	return reply.Members, nil
}

// Announce tells the stand-in of a machine that has started.
func (c *Client) Announce(ctx context.Context, m state.Member) error {
	if err := c.pool.Call(ctx, c.address, ServiceName+".Announce", AnnounceArgs{m}, &AnnounceReply{}); err != nil {
		return fmt.Errorf("platform: announce: %w", err)
	}
	return nil
}

// Service answers the calls of clients out of a table and a directory.
type Service struct {
	Table     state.Table
	Directory state.Directory
	// Announced is called for each machine that has started; it may be nil.
	Announced func(state.Member)
}

// Get serves Client.Get.
func (s *Service) Get(args GetArgs, reply *GetReply) (err error) {
	reply.Rows, err = s.Table.Get(context.Background(), args.Keys)
	return err
}

// Commit serves Client.Commit.
func (s *Service) Commit(txn state.Txn, reply *CommitReply) error {
	err := s.Table.Commit(context.Background(), txn)
	if errors.Is(err, state.ErrConflict) {
		reply.Conflict = true
		return nil
	}
	return err
}

// Members serves Client.Members.
func (s *Service) Members(_ MembersArgs, reply *MembersReply) (err error) {
	reply.Members, err = s.Directory.Members(context.Background())
	return err
}

// Announce serves Client.Announce.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	if s.Announced == nil {
		return netrpc.ServerError("machines are not announced here")
	}
	s.Announced(args.Member)
	return nil
}
