// Package scenario holds end-to-end scenarios in the testscript language. Each
// script in testdata starts real programs on a loopback network of its own,
// provokes failures and checks what callers, operators and backend servers saw.
//
// Commands beyond testscript's own:
//
//	fleet N              start the platform stand-in, the backend servers of
//	                     questionnaire.yaml, and N VMs, and apply the configuration
//	start NAME PROGRAM F start a program with settings file F ($NET is expanded)
//	signal NAME SIGNAL   send TERM, KILL, STOP or CONT to a started program
//	await-exit NAME      wait until a started program ended with status 0
//	await [!] URL [RE]   poll until the answer is 200 and its body matches RE
//	request METHOD URL [HEADER:VALUE ...] [-body TEXT]
//	                     print status, headers and body to stdout
//	get URL              print the body of an answer with status 200 to stdout
//	background request ...
//	                     send a request and do not wait for its answer
//	retry RE request ... send a request until the printed answer matches RE
//	put URL BODY         PUT JSON, for the control interfaces of stand-ins
//	grant VAR ACCOUNT    grant a client key and keep it in $VAR
//	uuid VAR ...         keep a new UUIDv7, as an Idempotency-Key, in each $VAR
//	ctl ARGS             run lacewingctl with the script's platform and credential
//	mark NAME            start a window in which requests at backend servers are counted
//	within NAME RATE BURST
//	                     check that the window had at most BURST + RATE * its length
//	exceeds RATE BURST   wait for a window of two seconds with more than that
//	expand FILE          replace $NET and other variables in a file
//
// VM i has its agent at $NET.100.i:7100 (admin 7101) and its entry at
// $NET.100.i:8000 (admin 8001). The platform is $NET.0.1:7000 and the control
// interface of the backend servers $NET.0.2:7002.
package scenario
