PROGRAMS := ibisfold ibisfold-agent ibisfold-entry ibisfold-standin
MODULES := core platform $(PROGRAMS) proof
SEED ?= 1
STEPS ?= 1000000
SITE ?= eisweinruf
COMMON := ibisfold.example

SECONDS ?= 20

.PHONY: all soak build test lint format tidy demo matrix fuzz bench bench-process experiment capacity capacity-process tables

all: lint test build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

# SKIP is a pattern of tests that are passed over: see .ci/run.
test:
	go test -skip '$(SKIP)' $(addprefix ./,$(addsuffix /...,$(MODULES)))

# Prints the files whose format differs and fails if there are any.
lint:
	@files=$$(git ls-files '*.go' | xargs go tool goimports -l -local $(COMMON)); \
	if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))
	go tool staticcheck $(addprefix ./,$(addsuffix /...,$(MODULES)))

format:
	git ls-files '*.go' | xargs go tool goimports -w -local $(COMMON)

tidy:
	@for m in $(MODULES) tools; do (cd $$m && GOWORK=off go mod tidy) || exit 1; done

# Runs a site on loopback with real processes.
demo: build
	bin/ibisfold-standin demo --site $(SITE) --seed $(SEED) --examples examples --bin bin

# Runs the real programs for opaque flows under random faults, at most SECONDS + 15 s.
soak: build
	bin/ibisfold-standin soak --bin bin --seed $(SEED) --seconds $(SECONDS)

# Go benchmarks of the decisions, readable by benchstat, and the throughput of a process.
bench: build
	go test ./core/... ./proof -run XXX -bench . -benchmem
	bin/ibisfold-standin load --pps --bin bin

# Measures packets a second through an entry against a bare relay.
bench-process: build
	bin/ibisfold-standin load --pps --bin bin
# Compares the admission and balance decisions with other policies; writes docs/experiments.
experiment:
	go run ./ibisfold-standin/experiment/cmd --seed $(SEED) --out docs/experiments

# Every fault at every step, on a virtual clock; at most 5 minutes.
matrix:
	@mkdir -p bin
	@go test -c -o bin/proof.test ./proof
	@bin/proof.test -test.run '^TestMatrix$$' -test.timeout 10m -seed $(SEED) -table

# Random tickets, callers and faults against the oracle of the matrix.
fuzz:
	@mkdir -p bin
	@go test -c -o bin/proof.test ./proof
	@bin/proof.test -test.run '^TestFuzz$$' -test.timeout 60m -seed $(SEED) -steps $(STEPS)

# Measures ticket spread, idle cost, recovery and memory of the control plane on
# the virtual network; writes docs/capacity. 4440 nodes take about 8 GB and 30 minutes.
SIZES ?= 10,40,160,740
capacity:
	IBISFOLD_CAPACITY=$(SIZES) go test ./proof -run Capacity -v -count 1 -timeout 2h

# Runs a site as real processes and writes what each of them used.
capacity-process: build
	bin/ibisfold-standin demo --site $(SITE) --seed $(SEED) --examples examples --bin bin --footprint docs/capacity/process-$(SITE).csv

# Copies the measured CSV files into the pages that show them.
tables:
	go run ./tools/tables docs/CAPACITY.md docs/experiments/README.md
