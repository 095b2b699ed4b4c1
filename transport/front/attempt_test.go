package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/transport/targetdial"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Guards against a target that its keeper ejects for all callers because a partitioned instance could
// not reach it.
var _ = DescribeTable("what an attempt shows about the target",
	func(resp *upstream.Response, err error, want permit.Result) {
		Expect(permitResult(context.Background(), resp, err)).To(Equal(want))
	},
	Entry("a response", &upstream.Response{Status: http.StatusOK}, nil, permit.ResultServed),
	Entry("a failure", &upstream.Response{Status: http.StatusInternalServerError}, nil, permit.ResultFailed),
	Entry("no connection, for other instances neither", nil, upstream.ErrNotSent, permit.ResultUnreachable),
	Entry("no connection, and no other instance has tried", nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, targetdial.ErrUnconfirmed), permit.ResultDropped),
	Entry("a connection that broke", nil, upstream.ErrOutcomeUnknown, permit.ResultFailed),
	Entry("a connection that broke as this instance was partitioned", nil, errors.Join(upstream.ErrPathLost, upstream.ErrOutcomeUnknown), permit.ResultDropped),
)
