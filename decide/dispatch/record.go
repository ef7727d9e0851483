package dispatch

import "time"

// maxRecords bounds the number of records kept for the state dump.
const maxRecords = 512

// Record lists the placement decisions made for one request.
type Record struct {
	ID         string      `json:"id"`
	Customer   string      `json:"customer"`
	Model      string      `json:"model"`
	Prompt     int64       `json:"prompt_tokens"`
	ArrivedMS  int64       `json:"arrived_ms"`
	Candidates []Candidate `json:"candidates"`
	Attempts   []Attempt   `json:"attempts"`
	Outcome    string      `json:"outcome,omitempty"`
	EndedMS    int64       `json:"ended_ms,omitempty"`
}

// Candidate is an engine that was considered, and the reason if it was not used.
type Candidate struct {
	Engine       string `json:"engine"`
	FirstTokenMS int64  `json:"first_token_ms"`
	PassedOver   string `json:"passed_over,omitempty"`
}

// Attempt is one execution of a request, or of a part of it, on an engine.
type Attempt struct {
	Engine  string `json:"engine"`
	Number  uint32 `json:"number"`
	AtMS    int64  `json:"at_ms"`
	Verdict string `json:"verdict,omitempty"`
}

// maxPerRecord bounds the candidates and the attempts in one record.
const maxPerRecord = 24

// records is a ring buffer of the latest records.
type records struct {
	ring [maxRecords]*Record
	next int
}

func (rs *records) open(now time.Duration, r *request) *Record {
	rec := &Record{
		ID: r.job.Id, Customer: r.job.Customer, Model: r.job.Model,
		Prompt: r.job.PromptTokens, ArrivedMS: now.Milliseconds(),
	}
	rs.ring[rs.next%maxRecords] = rec
	rs.next++
	return rec
}

func (rec *Record) addCandidate(engine string, firstToken time.Duration, passedOver string) {
	if len(rec.Candidates) < maxPerRecord {
		rec.Candidates = append(rec.Candidates, Candidate{Engine: engine, FirstTokenMS: firstToken.Milliseconds(), PassedOver: passedOver})
	}
}

func (rec *Record) addAttempt(now time.Duration, engine string, number uint32) {
	if len(rec.Attempts) < maxPerRecord {
		rec.Attempts = append(rec.Attempts, Attempt{Engine: engine, Number: number, AtMS: now.Milliseconds()})
	}
}

func (rec *Record) setVerdict(v string) {
	if n := len(rec.Attempts); n > 0 {
		rec.Attempts[n-1].Verdict = v
	}
}

func (rec *Record) close(now time.Duration, outcome string) {
	rec.Outcome = outcome
	rec.EndedMS = now.Milliseconds()
}

// list returns the records, newest first.
func (rs *records) list() []*Record {
	var out []*Record
	for i := rs.next - 1; i >= 0 && i >= rs.next-maxRecords; i-- {
		out = append(out, rs.ring[i%maxRecords])
	}
	return out
}
