package engine

import (
	"context"
	"errors"
	"runtime"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

// send sends the request to server in a new goroutine, which delivers the reply as an
// event.
func (r *run) send(sub *subrequest, server *fleet.Server) {
	sub.tried = append(sub.tried, server)
	sub.pending++
	sub.sends++
	sub.attempts++
	isExtra := sub.sends > 1
	if isExtra {
		r.extraPending++
	}
	start := time.Now()
	sub.nextSendAt = start.Add(sub.group.HedgeDelay(server, start))
	sendIndex := len(r.sendRecords)
	r.sendRecords = append(r.sendRecords, SendRecord{Server: server, SentAfter: start.Sub(r.start)})
	r.silences.begin(sub.group, server, start)
	go func() {
		growStack()
		reply := r.engine.sender.Send(r.sendCtx, server, r.req)
		if r.req.Route.IsSharded() {
			reply.rejectFailedPart()
		}
		now := time.Now()
		outcome := outcomeOf(r.sendCtx, reply)
		sub.group.ObserveNotice(server, reply.Notice, now)
		sub.group.Done(server, outcome, now.Sub(start), now)
		if outcome == fleet.Answered || outcome == fleet.TimedOut {
			maxServerTime := time.Duration(serverTimeShare * float64(r.req.Route.Objective))
			sub.group.ObserveObjective(server, outcome == fleet.Answered && now.Sub(start) <= maxServerTime, now)
		}
		r.silences.end(sendIndex, outcome, now)
		r.engine.counters.Sends[outcome].Add(1)
		if reply.mayHaveEnded() && r.engine.sender.HasEnded(r.sendCtx, server) {
			reply.HasEnded = true
			r.engine.counters.EndedServers.Add(1)
		}
		r.recordEvidence(sub, server, reply)
		r.events <- event{subrequest: sub, reply: reply, sendIndex: sendIndex, took: now.Sub(start), isExtra: isExtra}
	}()
}

// sendStackBytes is the stack size in bytes, rounded up, that a send needs.
const sendStackBytes = 6 << 10

// growStack makes the stack of a new goroutine large enough in one step. Otherwise the
// stack grows in three steps, each of which has more frames to move, and this takes 8 %
// of a send's processor time.
//
//go:noinline
func growStack() {
	var b [sendStackBytes]byte
	runtime.KeepAlive(&b)
}

// outcomeOf returns the outcome of a send to record for its server. A send that was
// cancelled before an answer or a refusal arrived counts as Cancelled if the client
// disconnected, because this is no evidence of a fault of the server, and as TimedOut
// otherwise.
func outcomeOf(sendCtx context.Context, r *Reply) fleet.Outcome {
	if r.IsAnswer() || sendCtx.Err() == nil || r.Outcome == fleet.Refused {
		return r.Outcome
	}
	if errors.Is(context.Cause(sendCtx), errClientDisconnected) {
		return fleet.Cancelled
	}
	return fleet.TimedOut
}
