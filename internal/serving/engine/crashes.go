package engine

import "github.com/godwithatch/godwithatch/internal/routing/fleet"

// maxEndedServers is the number of servers of one service, and of all services together,
// that may end during the sends of one request before its extra sends are restricted.
const maxEndedServers = 2

// recordEvidence records whether the server answered the request or ended while it ran it.
func (r *run) recordEvidence(sub *subrequest, server *fleet.Server, reply *Reply) {
	switch {
	case reply.IsAnswer():
		r.engine.quarantine.RecordAnswer(r.req.Fingerprint, sub.group.Service())
	case reply.HasEnded:
		r.engine.quarantine.RecordCrash(r.req.Fingerprint, r.attempt, sub.group.Service(), server.Incarnation())
	}
}

// countEnded counts the servers that ended during a send.
func (r *run) countEnded(x event) {
	if x.isExtra {
		r.extraPending--
	}
	if !x.reply.HasEnded {
		return
	}
	r.endedServers++
	x.subrequest.endedServers++
	if x.isExtra {
		r.extraEnded++
	}
}

func (r *run) isHeld() bool { return r.engine.quarantine.HoldTime(r.req.Fingerprint) > 0 }

// crashDenial returns the reason why servers that ended forbid an extra send, or NotDenied.
//
// While no server has answered a request to several services, it may be one that ends
// servers. One extra send at a time then shows whether it is: a sound request is answered,
// and the others follow; if its server ends too, no others follow.
func (r *run) crashDenial(sub *subrequest) Denial {
	switch {
	case r.endedServers > 0 && r.isHeld():
		return Held
	case sub.endedServers >= maxEndedServers:
		return Suspected
	case len(r.subrequests) > 1 && r.answered == 0 && (r.extraPending > 0 || r.extraEnded > 0):
		return Suspected
	default:
		return NotDenied
	}
}

// isStuck reports whether no reply can lift the suspicion against a subrequest any more.
func (r *run) isStuck(sub *subrequest) bool {
	if sub.denied != Suspected {
		return false
	}
	if sub.endedServers >= maxEndedServers {
		return true
	}
	for i := range r.subrequests {
		if r.subrequests[i].pending > 0 {
			return false
		}
	}
	return r.waiting == 0
}
