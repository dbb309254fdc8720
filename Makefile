GO ?= go
PACKAGES := ./...

.PHONY: build test check fmt generate demo fuzz bench bench-sites soak

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	gofmt -l -w cmd internal platform

check:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted, run make fmt:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

test: check
	./.ci/gotest

demo: build
	./bin/peridotmoor-dev demo --bin bin

# BENCH passes flags to the benchmark, for example BENCH="--rate 2000 --orders 50".
bench: build
	./bin/peridotmoor-dev bench --bin bin $(BENCH)

# SOAK passes flags to the soak, for example SOAK="--seed 100 --seeds 50".
soak: build
	./bin/peridotmoor-dev soak --bin bin $(SOAK)

# Scores the standard days of the large and further sites with the users' benchmark, fleetbench, which is not part of the repository.
KIT ?= ../given/kit/more/system
BENCH_PROGRAM ?= $(KIT)/more/bench-d17393/bin/fleetbench
WHY ?= make bench-sites
bench-sites:
	@if [ ! -x "$(BENCH_PROGRAM)" ]; then echo "the users' bench is not there, nothing was scored; set KIT to its directory"; exit 0; fi; \
	for site in large/kokemori-gw-large further/ogunleye-gw further-grown/ogunleye-gw-grown; do "$(BENCH_PROGRAM)" score "$(KIT)/$$site.toml" --jobs 4 --why "$(WHY)" || exit 1; done

# Fuzzes the parsers of external input, each target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	$(GO) test ./internal/entry -run '^$$' -fuzz FuzzHeaders -fuzztime $(FUZZTIME)
	$(GO) test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./internal/callerhttp -run '^$$' -fuzz FuzzConnection -fuzztime $(FUZZTIME)
	$(GO) test ./internal/backhttp -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	$(GO) test ./internal/responsehead -run '^$$' -fuzz FuzzScanner -fuzztime $(FUZZTIME)
	$(GO) test ./internal/entrynode -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./internal/owners -run '^$$' -fuzz FuzzDecodeRecord -fuzztime $(FUZZTIME)
	for target in Facts Known; do $(GO) test ./internal/link -run '^$$' -fuzz Fuzz$$target -fuzztime $(FUZZTIME) || exit 1; done
	for target in Config Tenants Credential Listing Server Load Answer; do $(GO) test ./platform -run '^$$' -fuzz FuzzDecode$$target -fuzztime $(FUZZTIME) || exit 1; done

# Needs protoc (Debian package protobuf-compiler). The generated code is committed.
generate:
	mkdir -p bin/tools
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative internal/peer/peerpb/peer.proto internal/link/linkpb/link.proto
