// Package entry is the data plane of one VM. It serves callers by running each
// request through named stages:
//
//	route    -> which route and service the path belongs to
//	identify -> which client account the key belongs to; the key is removed
//	admit    -> whether the account is within its rate and burst
//	claim    -> whether a protected request has run before
//	queue    -> a place at the service, shared out fairly among the accounts
//	forward  -> a backend server is picked, the request sent, the answer delivered
//
// A stage either lets the exchange go on or ends it with a Refusal. Every
// answer of the entry's own carries an outcome header; OutcomeNotRun means that
// no backend server ran the request.
package entry
