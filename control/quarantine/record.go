package quarantine

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/durable"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/internal/jsonsplit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// maxRecordBytes bounds the record in the store.
const maxRecordBytes = 512 << 10

var errRecordTooLarge = errors.New("record of crashes is too large")

// record is what the store holds of requests and parts of prompts that crash servers.
type record struct {
	parts    blame.Durable
	requests []poison.Record
}

// digest is that of a record alone.
func (r record) digest(now time.Duration) uint64 {
	table, parts := poison.NewTable(), blame.NewTable(blame.Options{})
	table.Restore(now, r.requests)
	parts.Restore(now, r.parts)
	return contentOf(table, parts).Digest
}

// contentOf summarizes what the store has to hold of two tables.
func contentOf(table *poison.Table, parts *blame.Table) durable.Content {
	requests, state := table.DurableDigest(), parts.DurableState()
	return durable.Content{Digest: durable.Nothing + requests + state.Digest, Decided: state.Decided || requests != 0}
}

// encodeRecord encodes a record as JSON of limited size. Its times are ages at the given time of day.
func encodeRecord(now time.Duration, day time.Time, r record, maxBytes int) ([]byte, error) {
	raw, err := protojson.Marshal(&peerpb.CrashRecord{
		WrittenMs: day.UnixMilli(),
		Crashes:   encodeCrashes(now, blame.Changes{Crashes: r.parts.Crashes, Used: r.parts.Used}),
		Requests:  encode(now, poison.Changes{Records: r.requests}),
	})
	if err == nil && len(raw) > maxBytes {
		err = errors.Wrapf(errRecordTooLarge, "%d bytes", len(raw))
	}
	return raw, err
}

// decodeRecord decodes a record; no content stands for an empty one. Where the time of day jumped back
// since it was written, the ages are those when it was written. What can be read is returned beside an error.
func decodeRecord(now time.Duration, day time.Time, raw []byte) (r record, err error) {
	if len(raw) == 0 {
		return r, nil
	}
	in := &peerpb.CrashRecord{}
	if err = unmarshalRecord.Unmarshal(raw, in); err != nil {
		in = readableParts(raw)
	}
	at := now
	if in.WrittenMs > 0 {
		at -= max(0, day.Sub(time.UnixMilli(in.WrittenMs)))
	}
	if c := in.GetCrashes(); c != nil {
		changes := decodeCrashes(at, c)
		r.parts = blame.Durable{Crashes: changes.Crashes, Used: changes.Used}
	}
	for _, p := range in.GetRequests().GetRequests() {
		if rec, ok := decode(at, p); ok {
			r.requests = append(r.requests, rec)
		}
	}
	return r, errors.Wrap(err, "record of crashes")
}

var unmarshalRecord = protojson.UnmarshalOptions{DiscardUnknown: true}

// readableParts returns what can be read of a record of which a part cannot.
func readableParts(raw []byte) *peerpb.CrashRecord {
	// Parts that are not there, or of another form, are empty below.
	members, _ := jsonsplit.Object(raw)
	crashes, _ := jsonsplit.Object(members["crashes"])
	requests, _ := jsonsplit.Object(members["requests"])
	out := &peerpb.CrashRecord{
		Crashes: &peerpb.CrashReport{
			Crashes: readableElements(crashes["crashes"], func() *peerpb.Crash { return new(peerpb.Crash) }),
			Used:    readableElements(crashes["used"], func() *peerpb.UsedTrial { return new(peerpb.UsedTrial) }),
		},
		Requests: &peerpb.SuspectRequests{Requests: readableElements(requests["requests"], func() *peerpb.SuspectRequest { return new(peerpb.SuspectRequest) })},
	}
	var written peerpb.CrashRecord
	if unmarshalRecord.Unmarshal(fmt.Appendf(nil, `{"writtenMs":%s}`, members["writtenMs"]), &written) == nil {
		out.WrittenMs = written.WrittenMs
	}
	return out
}

// readableElements decodes the elements of a list, without those that cannot be.
func readableElements[M proto.Message](raw []byte, empty func() M) (out []M) {
	elements, _ := jsonsplit.Array(raw)
	for _, element := range elements {
		if m := empty(); unmarshalRecord.Unmarshal(element, m) == nil {
			out = append(out, m)
		}
	}
	return out
}
