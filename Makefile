.PHONY: build run test

build:
	go build -o bin/auburnmoor ./cmd/auburnmoor

run: build
	./bin/auburnmoor dev

test:
	gofmt -l . | tee /dev/stderr | test -z "$$(cat)"
	go vet ./...
	go test ./...
