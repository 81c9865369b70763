// Package once decides whether a protected request may be sent to a backend
// server: at most once for each client account, route and idempotency key. It
// is deterministic: time and messages are passed in.
package once
