# The race detector needs a C compiler; everything else needs only Go.
RACE := $(if $(shell command -v cc),-race)

.PHONY: build run test test-packages test-crowds test-e2e test-notices test-real-time lint bench bench-bounds faults model-check generate fuzz

build:
	go build -o bin/auburnmoor ./cmd/auburnmoor

run: build
	./bin/auburnmoor dev

test: lint
	@test ! -s KNOWN-RED.txt || { echo "known failures, passed over:"; cat KNOWN-RED.txt; }
	$(MAKE) test-packages
	$(MAKE) test-crowds
	$(MAKE) -j3 -Otarget test-e2e test-notices test-real-time
	LARGE_FLEETS=only KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test ./decide/member ./decide/retry ./decide/ratelimit ./lab/propagation

# Time limit of the tests of one package.
TEST_TIMEOUT := 15m

# Packages whose tests have bounds in real time. They and e2e run after the others, whose computations would starve them.
REAL_TIME := ./control/follow ./lab/soak ./lab/standin/workerserver ./peerlink ./platform

test-packages:
	LARGE_FLEETS=skip KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test $(RACE) -timeout $(TEST_TIMEOUT) $(filter-out $(shell go list ./e2e $(REAL_TIME)),$(shell go list ./...))

# Clients that do not behave: memory and descriptors of real processes, beside nothing else.
test-crowds:
	CROWDS=only KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test $(RACE) -timeout $(TEST_TIMEOUT) ./e2e

test-e2e:
	CROWDS=skip SERVER_NOTICES=skip KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test $(RACE) -timeout $(TEST_TIMEOUT) ./e2e

test-notices:
	CROWDS=skip SERVER_NOTICES=only KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test $(RACE) -timeout $(TEST_TIMEOUT) ./e2e

test-real-time:
	KNOWN_RED=$(CURDIR)/KNOWN-RED.txt go test $(RACE) -timeout $(TEST_TIMEOUT) $(REAL_TIME)

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "gofmt would change: $$files"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

bench: build
	./bin/auburnmoor bench

bench-bounds: build
	./bin/auburnmoor bench --bounds lab/bench/bounds.toml

faults: build
	./bin/auburnmoor faults

model-check:
	./spec/check.sh

# Needs protoc, protoc-gen-go and protoc-gen-go-grpc; its output is committed.
generate:
	protoc --go_out=. --go_opt=module=github.com/auburnmoor/auburnmoor --go-grpc_out=. --go-grpc_opt=module=github.com/auburnmoor/auburnmoor peerpb/peer.proto

fuzz:
	go test -fuzz=FuzzParse -fuzztime=30s ./settings
	go test -fuzz=FuzzParse -fuzztime=30s ./manifest
	go test -run=XXX -fuzz=FuzzParseCompletion -fuzztime=30s ./serve/api
	go test -run=XXX -fuzz=FuzzCountElements -fuzztime=30s ./serve/api
	go test -run=XXX -fuzz=FuzzFraming -fuzztime=30s ./serve/intake
	go test -run=XXX -fuzz=FuzzServerEntry -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzObjects -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzWatchEvents -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzConfig -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzHead -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzRequestHead -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzChunks -fuzztime=30s ./platform
	go test -run=XXX -fuzz=FuzzEvents -fuzztime=30s ./serve/relay
