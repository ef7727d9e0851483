// Package blame infers which part of prompts crashes the backend servers that write an answer on
// it. Requests share parts, and each request with such a part may be a new one, so evidence about
// whole requests (package poison) begins from zero with each of them.
//
// A crash ends all requests that a server runs, so each part of all of them is in the crash, the
// cause and many others. The inference follows statistical debugging (which predicate is true in
// the failing runs, and never in a run that succeeds) and group testing:
//
//   - Only fresh runs are in a crash: those without an event so far, and those whose first event
//     came less than FreshFor ago. The cause acts when an answer is begun.
//   - A run that writes for longer than FreshFor, or ends, clears its parts of all crashes before
//     its first event. Parts that many sound requests have are cleared within a moment.
//   - A part with three crashes or more is not refused for itself: others may have been in all of
//     its crashes. Its companions are the parts, and the requests, that are in all of them and
//     not cleared. A request is refused if it has the part with all its companions. If one of
//     them is the cause, the request has it, whichever it is; a sound request that has only some
//     of them is run, and its answer clears them.
//   - Of the part and its companions those are the likelier cause that fewer requests have. Until the
//     others are cleared, requests that have only such ones wait as well.
//   - Crashes at the same moment are one crash: a rack fails, or an operator ends all servers of a
//     service. Those at the moment of crashes without the part do not count for it.
//   - The more servers crash without the part, the more of its crashes may be chance, and the more
//     are needed.
//
// Requests with a part in two crashes wait for reports of others. Where more crashes than usual are
// needed, one request of the whole fleet at a time is run after the wait: sent together, those that
// waited would end a server each.
//
// A refused part is tried again, by one request of the whole fleet at a time, after a time that
// grows with the span of its crashes. An answer to that clears it. There are three trials at most.
//
// Crashes of servers of all software versions are one series. An answer clears a part only of crashes of
// the same version; for those of others it tells that its version is sound. A refused part is unknown at
// a version that has neither crashed with it nor answered it, and is tried there before other requests
// with it are sent to such servers.
//
// Instances exchange crashes and what was cleared of them. Both only grow, in any order, so that
// all instances reach the same state (a two-phase set for each crash). Durable and Restore carry it
// over the loss of all instances; times that were restored are approximate.
//
// The package does no I/O and reads no clock. Times are those of the instance's own clock.
package blame
