GO ?= go
TEST_TIMEOUT ?= 20m
RACE_TIMEOUT ?= 40m
SOAK_TIMEOUT ?= 60m
FUZZ_TIME ?= 30s
PACKAGES ?= ./...
TEST_FLAGS ?=

# Each folder is the main package of a program.
PROGRAMS := $(addprefix ./,$(wildcard cmd/* test/standin))

.PHONY: all build test race fmt fmt-check vet lint generate generate-check run \
	measure measure-config measure-control measure-effects measure-members measure-path measure-policy measure-simulation measure-slopes \
	soak fuzz clean

all: build

build: # compiles the programs into ./bin
	@mkdir -p bin
	$(if $(PROGRAMS),$(GO) build -o bin/ $(PROGRAMS),@echo "no programs yet")

test: # fails on any failure that KNOWN-RED.txt does not list
	./scripts/known-red.sh -count=1 -timeout=$(TEST_TIMEOUT) $(TEST_FLAGS) $(PACKAGES)

race:
	./scripts/known-red.sh -race -count=1 -timeout=$(RACE_TIMEOUT) $(TEST_FLAGS) $(PACKAGES)

fmt:
	find . -name '*.go' -not -path './.git/*' -print0 | xargs -0 gofmt -w

fmt-check:
	./scripts/fmt-check.sh

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

generate:
	./scripts/install-protoc.sh
	./scripts/generate.sh

generate-check:
	./scripts/install-protoc.sh
	./scripts/generate-check.sh

run: build # a sample fleet on this machine; with ONCE=1 it exits after the first answer
	@$(GO) build -o bin/ ./test/fleet
	@./bin/fleet $(if $(ONCE),--once)

measure: build # compares policies of sharing capacity, with real daemons
	$(GO) run ./test/measure/dispatch

measure-policy: # compares policies of sharing capacity, in virtual time
	$(GO) run ./test/measure/policy

measure-simulation: # placement and admission on a model of engines, in virtual time
	$(GO) run ./test/measure/simulation

measure-config: # time until tickets are in force
	$(GO) run ./test/measure/config

measure-control: # time that a daemon spends on its peers, and on the choice of a server, in growing fleets
	$(GO) test -run '^$$' -bench "Fleet|DecodeMembers|OwnZone" ./internal/exchange
	$(GO) test -run '^$$' -bench "ChooseInLargeFleet" ./internal/placement

measure-members: build # control traffic of idle fleets, and the time to detect failures
	$(GO) run ./test/measure/members

measure-effects: # cost of a claim, and the share of unrepeatable requests that run while the log fails
	$(GO) run ./test/measure/effects

measure-path: build # one daemon: latency, memory, requests per second
	$(GO) run ./test/measure/path

measure-slopes: # growth of memory, time and traffic with the size of each role
	$(GO) run ./test/measure/slopes

soak:
	$(GO) test -run Soak -tags soak -count=1 -timeout=$(SOAK_TIMEOUT) ./test/... ./platform

fuzz:
	./scripts/fuzz.sh $(FUZZ_TIME)

clean:
	rm -rf bin
