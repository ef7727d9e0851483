// Package peerpb holds the generated messages that instances exchange.
//
// The decision packages use these types directly, so that a message is the
// same value in a test in virtual time and on the wire.
package peerpb
