package upstream

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// MaxAnswerBytes is the maximum size of a server's response body in bytes.
const MaxAnswerBytes = 16 << 20

type callBody struct {
	Attempt    string          `json:"attempt"`
	Key        string          `json:"key,omitempty"`
	Route      string          `json:"route"`
	Snapshot   uint64          `json:"snapshot"`
	Shard      int             `json:"shard"`
	Shards     int             `json:"shards"`
	DeadlineMS int64           `json:"deadline_unix_ms"`
	Payload    json.RawMessage `json:"payload"`
}

type answerBody struct {
	Attempt  string          `json:"attempt"`
	Snapshot uint64          `json:"snapshot"`
	Shard    int             `json:"shard"`
	Shards   int             `json:"shards"`
	Digest   string          `json:"digest"`
	Results  json.RawMessage `json:"results"`
	stateBody
}

type refusalBody struct {
	Attempt string `json:"attempt"`
	Refusal Reason `json:"refusal"`
	stateBody
}

type stateBody struct {
	Holdings []Holding `json:"holdings"`
	Instance string    `json:"instance"`
	InFlight *int      `json:"in_flight"`
	Draining bool      `json:"draining"`
}

func (b stateBody) state() State {
	inFlight := -1
	if b.InFlight != nil {
		inFlight = *b.InFlight
	}
	return NewState(b.Holdings, b.Instance, inFlight, b.Draining)
}

// EncodeCall returns the JSON body of a call.
func EncodeCall(c Call) ([]byte, error) {
	return json.Marshal(callBody{
		Attempt:    c.attempt,
		Key:        c.key,
		Route:      c.route,
		Snapshot:   c.snapshot,
		Shard:      c.shard,
		Shards:     c.shards,
		DeadlineMS: c.deadline.UnixMilli(),
		Payload:    c.payload,
	})
}

// DecodeCall decodes the JSON body of a call, as servers do.
func DecodeCall(body []byte) (Call, error) {
	var b callBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Call{}, fault.Wrap(fault.MalformedBody, fault.NotRun, err, "the call cannot be read")
	}
	holding := Holding{b.Snapshot, b.Shard, b.Shards}
	call := NewCall(b.Attempt, b.Route, holding, time.UnixMilli(b.DeadlineMS), b.Payload)
	call.key = b.Key
	return call, nil
}

// EncodeAnswer returns the JSON body of an answer, as servers send it.
func EncodeAnswer(c Call, results []byte, state State) ([]byte, error) {
	return json.Marshal(answerBody{
		Attempt:   c.attempt,
		Snapshot:  c.snapshot,
		Shard:     c.shard,
		Shards:    c.shards,
		Digest:    strconv.FormatUint(Digest(results), 16),
		Results:   results,
		stateBody: newStateBody(state),
	})
}

// EncodeRefusal returns the JSON body of a refusal, as servers send it.
func EncodeRefusal(attempt string, reason Reason, state State) ([]byte, error) {
	return json.Marshal(refusalBody{attempt, reason, newStateBody(state)})
}

// EncodeState returns the JSON body of a server's state.
func EncodeState(state State) ([]byte, error) { return json.Marshal(newStateBody(state)) }

func newStateBody(s State) stateBody {
	return stateBody{s.holdings, s.instance, &s.inFlight, s.draining}
}

// DecodeAnswer decodes an answer and verifies that it belongs to the call and is
// complete. It returns a CorruptReply fault for an answer to another attempt, from
// another snapshot or shard, or with a wrong checksum.
func DecodeAnswer(c Call, body []byte) (*Answer, error) {
	var b answerBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fault.Wrap(fault.CorruptReply, fault.Unknown, err, "the answer cannot be read")
	}
	holding := Holding{b.Snapshot, b.Shard, b.Shards}
	switch {
	case b.Attempt != c.attempt:
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the answer is for attempt %q, not %q", b.Attempt, c.attempt)
	case holding != c.Holding():
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the answer covers %+v, not %+v", holding, c.Holding())
	case b.Digest != strconv.FormatUint(Digest(b.Results), 16):
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the answer has not the stated checksum")
	}
	return NewAnswer(holding, bytes.Clone(b.Results)).WithState(b.state()), nil
}

// decodeRefusal decodes a refusal of the call. It returns false if the body is
// not a refusal of this attempt. Such a body does not prove that the call did not
// run.
func decodeRefusal(server string, c Call, body []byte) (*Refusal, bool) {
	var b refusalBody
	if json.Unmarshal(body, &b) != nil || b.Attempt != c.attempt {
		return nil, false
	}
	return NewRefusal(server, b.Refusal, b.state()), true
}

func decodeState(body []byte) (State, error) {
	var b stateBody
	if err := json.Unmarshal(body, &b); err != nil {
		return State{}, fault.Wrap(fault.CorruptReply, fault.Unknown, err, "the state cannot be read")
	}
	return b.state(), nil
}
