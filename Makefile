# Entry to build, test, lint, generate, measure and demo.
GOFUMPT_VERSION := v0.12.0
LINT_VERSION := v2.15.0
ENUMER_VERSION := v1.7.2
BIN := $(CURDIR)/.bin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
ARCH := $(shell go env GOHOSTARCH)
# On arm64 the race detector's own runtime crashes in these packages (SIGSEGV below
# time.AfterFunc in a synctest bubble, a failed check of ThreadSanitizer).
RACE_CRASHES_ON_ARM64 := ./platform/...
UNIT := ./cmd/... ./internal/... ./modules/... ./platform/... ./routers/... ./services/... ./tests/known/... ./tests/standin/... ./tests/proof/...
LDFLAGS := -X github.com/godwithatch/godwithatch/cmd.Version=$(VERSION)

.PHONY: build test check lint format generate generated unit process soak fuzz demo measure slopes bench tools clean

build: ## Build the program.
	go build -ldflags "$(LDFLAGS)" -o $(BIN)/godwithatch .

test: build check unit process soak ## All checks and tests.

check: generated lint ## Format, lint, vet, generated code.
	go vet ./...

tools: $(BIN)/gofumpt-$(GOFUMPT_VERSION) $(BIN)/golangci-lint-$(LINT_VERSION) $(BIN)/enumer-$(ENUMER_VERSION)

$(BIN)/gofumpt-$(GOFUMPT_VERSION):
	GOBIN=$(BIN) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	touch $@

$(BIN)/golangci-lint-$(LINT_VERSION):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	touch $@

$(BIN)/enumer-$(ENUMER_VERSION):
	GOBIN=$(BIN) go install github.com/dmarkham/enumer@$(ENUMER_VERSION)
	touch $@

lint: tools
	@unformatted=$$($(BIN)/gofumpt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(BIN)/golangci-lint run ./...

format: tools
	$(BIN)/gofumpt -w .

generate: tools
	go generate ./...

generated: generate ## The committed generated code is up to date.
	@git diff --exit-code --stat -- '*_enumer.go'

unit: ## Unit, property and trace tests with the race detector.
ifeq ($(ARCH),arm64)
	@echo "arm64: without the race detector, which crashes there: $(RACE_CRASHES_ON_ARM64)"
	go run ./tests/known -timeout 60m $(RACE_CRASHES_ON_ARM64)
	go run ./tests/known -race -timeout 60m $(filter-out $(RACE_CRASHES_ON_ARM64),$(UNIT))
else
	go run ./tests/known -race -timeout 60m $(UNIT)
endif

process: ## Tests that run separate processes.
	go run ./tests/known -count=1 -p 1 -timeout 15m ./tests/process/...

SEED ?= 1
SECONDS ?= 10
soak: ## Real fronts as processes under random faults; SEED and SECONDS set the run.
	go run ./tests/soak -seed $(SEED) -seconds $(SECONDS)

fuzz: ## Fuzz the parsers for a minute each.
	go test -fuzz=FuzzJoin -fuzztime=60s ./services/table
	go test -fuzz=FuzzParse -fuzztime=60s ./modules/setting
	go test -fuzz=FuzzBody -fuzztime=60s ./routers/caller
	go test -run '^$$' -fuzz=FuzzObjects -fuzztime=60s ./platform
	go test -run '^$$' -fuzz=FuzzSettings -fuzztime=60s ./platform
	go test -run '^$$' -fuzz=FuzzNews -fuzztime=60s ./platform
	go test -run '^$$' -fuzz=FuzzPage -fuzztime=60s ./platform
	go test -run '^$$' -fuzz=FuzzResponse -fuzztime=60s ./internal/protocol/http1
	go test -run '^$$' -fuzz=FuzzSuspects -fuzztime=60s ./platform
	go test -run '^$$' -fuzz=FuzzGuard -fuzztime=60s -fuzzminimizetime=10x ./internal/protocol/httpguard
	go test -fuzz=FuzzMessage -fuzztime=60s ./services/peer

demo: ## Run a small deployment as separate processes.
	go run ./tests/demo

measure: ## Write docs/MEASUREMENTS.md.
	go test -count=1 -timeout 60m ./tests/measure -args -out $(CURDIR)/docs/MEASUREMENTS.md

slopes: ## Print the cost per unit of each part over growing sizes.
	go run ./tests/slopes

bench: ## Speed of the request path.
	go test -run '^$$' -bench . -benchmem ./services/...

clean:
	rm -rf $(BIN)
