package fleet

import "time"

// minEndingSilence is the least time without any reply after which a server may have ended
// during a send. It exceeds the longest pause of the deployments several times.
const minEndingSilence = time.Second

// Ending says when a server that does not reply counts as having ended during a send.
type Ending struct {
	// AliveAt is the time of the server's last reply to this host before the send; zero if
	// there was none.
	AliveAt time.Time
	// SilentBy is the time by which the server would have run the request. Replies until then
	// may have been under way when the server ended.
	SilentBy time.Time
	// MinSend is the least duration of the send, and Silence the time from the send for which
	// the server must be silent.
	MinSend, Silence time.Duration
}

// Ending returns what must follow a send at now for s to count as having ended during it.
// The send must have been counted by Pick. ok is false if s has already left earlier requests
// unanswered.
//
// Of all requests that a silent server leaves unanswered, only the first ones can have ended
// it. The others say nothing of themselves.
func (g *Group) Ending(s *Server, now time.Time) (e Ending, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.hasUnanswered || s.isSilent(now, g.typicalServiceTime) {
		return Ending{}, false
	}
	downAfter := s.downAfter(now, g.typicalServiceTime)
	return Ending{
		AliveAt: s.repliedAt, SilentBy: now.Add(downAfter - downAfterSilence),
		MinSend: downAfter, Silence: max(downAfter, minEndingSilence),
	}, true
}

// RepliedAt returns the time of the last reply of s to this host, and the zero time if there
// was none.
func (g *Group) RepliedAt(s *Server) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.repliedAt
}

// observeReply records that the server has replied to this host in any way.
func (s *Server) observeReply(now time.Time) {
	s.progressAt, s.repliedAt, s.hasUnanswered = now, now, false
}
