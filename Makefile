# Everything a newcomer needs: make demo runs the fleet, make test passes the tests.
GO ?= go

.PHONY: build demo test bench fmt tidy proof

build:
	$(GO) build -o bin/ ./cmd/...

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
