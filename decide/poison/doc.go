// Package poison detects requests that crash the backend servers that run them (queries of
// death) from the crashes seen by all instances.
//
// A server runs requests in batches, so a request that crashes it also interrupts some
// twenty others, each of which looks like the cause. Only the actual cause crashes the next server
// too. So crashes are counted per request, over all instances and client attempts:
//
//   - Only successive crashes count: the request was sent after the previous crash. A
//     request that many callers send at once runs on many servers, and a rack failure ends
//     all of these runs at the same moment.
//   - A crash at the same moment as exits of other servers that did not run the request
//     does not count: they have a common cause.
//   - The more servers exit without running the request, the more crashes are needed: a
//     request that runs for a second while servers restart meets some exits by chance.
//   - An answer clears the count: it proves that the request can be run.
//   - A crash shared with a request that has more crashes is attributed to that request and
//     not counted.
//
// The package does no I/O and reads no clock. Times are those of the instance's own clock.
package poison
