# Everything a newcomer needs: make demo runs the fleet, make test passes the tests.
GO ?= go

.PHONY: build demo test lint fmt tidy proof

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

fmt:
	gofmt -w .

tidy:
	./scripts/tidy.sh

# make proof runs the proofs of all must-holds; make proof POINT=rate runs one.
proof:
	./scripts/proof.sh $(POINT)
