# Everything a newcomer needs: make demo runs the fleet, make test passes the tests.
GO ?= go
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo dev)
LDFLAGS = -X lacewingmount.dev/daemon.Version=$(VERSION)

.PHONY: race build demo test bench fmt tidy proof red slopes

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

# make bench measures one entry against the stand-in called directly.
bench: build
	./scripts/bench.sh

fmt:
	gofmt -w .

tidy:
	./scripts/tidy.sh

# make proof runs the proofs of all must-holds; make proof POINT=rate runs one.
proof:
	./scripts/proof.sh $(POINT)

# make red POINT=once removes a mechanism and succeeds only if a proof notices.
red:
	./scripts/red.sh $(POINT) $(WHAT)

# make slopes measures agents against size; feed it to "lacewingctl capacity fit".
slopes: build
	@./scripts/slopes.sh

# Runs the tests of the modules with goroutines under the race detector.
race:
	$(GO) test -race -count=1 ./agent ./ctl ./daemon ./entry ./gateway ./load ./metastore ./platform/... ./sockets ./standin ./timeline ./wire
