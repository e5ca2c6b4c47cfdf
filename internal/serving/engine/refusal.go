package engine

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// overloadAnswer returns the refusal of a request for which reserve found too few
// servers. The refusal names the services that are not expected to have capacity within
// the maximum wait, and the time after which they are expected to have some.
func (r *run) overloadAnswer(required int) *Answer {
	retryAfter := minRetryAfter
	var overloaded []string
	for i := range r.subrequests {
		if sub := &r.subrequests[i]; sub.reserved == nil && !sub.mayWait {
			retryAfter = max(retryAfter, sub.group.RetryAfter(r.start, r.serverFilter(sub), r.req.Deadline.Sub(r.start)))
			overloaded = append(overloaded, sub.group.Service())
		}
	}
	return refusalAnswer(fault.Overloaded, spread(retryAfter), "no capacity in time at %s; %d of %d services required", strings.Join(overloaded, " "), required, len(r.subrequests))
}

// spread returns a random time between d and twice d. Clients that are told the same time
// would retry together.
func spread(d time.Duration) time.Duration { return d + time.Duration(rand.Float64()*float64(d)) }

// refusedRetryAfter returns the time after which a client whose request every server
// refused should retry: not before one of the servers wants requests again.
func (r *run) refusedRetryAfter() time.Duration {
	now, retryAfter := time.Now(), minRetryAfter
	for i := range r.subrequests {
		if sub := &r.subrequests[i]; sub.bestReply != nil && sub.bestReply.Notice.RestTime > 0 {
			anyServer := fleet.Filter{AllowsRegion: r.req.Route.AllowsRegion}
			retryAfter = max(retryAfter, sub.group.RetryAfter(now, anyServer, r.req.Deadline.Sub(now)))
		}
	}
	if retryAfter > minRetryAfter {
		retryAfter = spread(retryAfter)
	}
	return retryAfter
}
