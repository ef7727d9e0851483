// Package peerpb contains the generated protobuf messages that instances
// exchange.
//
// The decision packages use these types directly, so tests in virtual time
// process the same messages that are sent on the wire.
package peerpb
