package gateway

import (
	"net/http"

	"lacewingmount.dev/placement"
)

func (q *request) admit() *refusal {
	ok, retryAfter, by := q.g.admit(q.r.Context(), q.account, q.route.Priority)
	if !ok {
		q.g.sendRelease(q.service, q.g.nextSeq(), q.g.peers.ownerOf(q.service).Name, ending{outcome: placement.Unadmitted})
		return &refusal{http.StatusTooManyRequests, retryAfter, "account is over its rate, decided by " + by}
	}
	return nil
}
