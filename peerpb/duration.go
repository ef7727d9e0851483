package peerpb

import "time"

// Micros is the duration of a field in microseconds.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
