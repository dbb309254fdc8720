GO ?= go
PACKAGES := ./...

.PHONY: build test check fmt generate demo fuzz bench

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	gofmt -l -w cmd internal

check:
	@unformatted=$$(gofmt -l cmd internal); \
	if [ -n "$$unformatted" ]; then echo "not formatted, run make fmt:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

test: check
	./.ci/gotest

demo: build
	./bin/peridotmoor-dev demo --bin bin

# Flags of one run go into BENCH, such as BENCH="--rate 2000 --orders 50".
bench: build
	./bin/peridotmoor-dev bench --bin bin $(BENCH)

# Fuzzes what is read from outside, FUZZTIME for each target.
FUZZTIME ?= 10s
fuzz:
	$(GO) test ./internal/entry -run '^$$' -fuzz FuzzHeaders -fuzztime $(FUZZTIME)
	$(GO) test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)

# Needs protoc (Debian package protobuf-compiler). The generated code is committed.
generate:
	mkdir -p bin/tools
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative internal/peer/peerpb/peer.proto internal/link/linkpb/link.proto
