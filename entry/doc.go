// Package entry is the reverse proxy of one VM. It runs each request of a caller
// through a fixed sequence of stages:
//
//	route    -> finds the route and the service from the method and path
//	identify -> finds the client account from the key and removes the key
//	admit    -> checks the rate and burst of the account
//	claim    -> checks that a protected request is sent at most once
//	queue    -> waits for a concurrency slot of the service; slots are shared
//	            fairly among the accounts
//	forward  -> selects a backend server, sends the request, returns the response
//
// Each stage either passes the exchange on or ends it with a Refusal. Every
// response that the entry itself generates has the header OutcomeHeader.
// OutcomeNotRun means that no backend server ran the request.
package entry
