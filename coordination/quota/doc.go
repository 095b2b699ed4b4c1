// Package quota divides a limit that applies to all instances together into shares, one for each
// instance, so that an instance decides about a request without a message.
//
// The leader's Allocator grants shares in its replies to reports, and each instance's Holder admits
// requests within its shares. The sum of the shares that may be in use never exceeds the limit,
// whichever messages are lost, delayed or duplicated:
//
//   - A share is valid for a limited time. The holder counts it from before it sent the report that
//     the share answers; the allocator counts it from when it granted the share, which is later, and
//     adds the tolerance for clocks that run at different rates.
//   - A holder uses the shares of one reply only, the newest that it has received. A report names
//     that reply; the allocator then knows that no older one is used any more.
//   - The allocator grants on only what no unexpired and unreplaced share may still use.
//   - A new leader grants nothing until all shares of former leaders have expired. Until then it
//     only extends shares for the instances that have them.
//   - A running request occupies its part of a limit on concurrent requests until a report shows
//     that it has ended, or its deadline is over.
//
// See docs/design/quota.md for the messages and the failures.
package quota
