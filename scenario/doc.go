// Package scenario contains end-to-end tests in the testscript language. Each script
// in testdata starts the programs on its own loopback network, causes failures and
// checks what callers, operators and backend servers observe.
//
// Commands in addition to those of testscript:
//
//	fleet N              start the fake platform, the fake backend servers of
//	                     questionnaire.yaml and N VMs, and apply the configuration
//	start NAME PROGRAM F start a program with settings file F ($NET is expanded)
//	signal NAME SIGNAL   send TERM, KILL, STOP or CONT to a started program
//	await-exit NAME      wait until a started program has ended with status 0
//	await [!] URL [RE]   poll until the response has status 200 and its body matches RE;
//	                     with !, until it does not
//	request METHOD URL [HEADER:VALUE ...] [-body TEXT]
//	                     print the status, headers and body of the response to stdout
//	get URL              print the response body to stdout; the status must be 200
//	background request ...
//	                     send a request and do not wait for its response
//	retry RE request ... repeat a request until the printed response matches RE
//	put URL BODY         PUT JSON, for the control interfaces of the fakes
//	grant VAR ACCOUNT    grant a client key and store it in $VAR
//	uuid VAR ...         store a new UUIDv7, to be used as Idempotency-Key, in each $VAR
//	ctl ARGS             run lacewingctl with the script's platform and credential
//	mark NAME            start a window that counts the requests received by backend servers
//	within NAME RATE BURST
//	                     check that the window has at most BURST + RATE * its length;
//	                     RATE is per second
//	exceeds RATE BURST   wait for a window of two seconds with more requests than that
//	expand FILE          replace $NET and other variables in a file
//
// VM i has its agent at $NET.100.i:7100 (admin 7101) and its entry at
// $NET.100.i:8000 (admin 8001). The platform is $NET.0.1:7000 and the control
// interface of the backend servers $NET.0.2:7002.
package scenario
