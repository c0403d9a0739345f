# The tasks of the repository: building, running, tests and generated files.

VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo development)
LDFLAGS := -X github.com/cometlock/cometlock/internal/version.Version=$(VERSION)
PACKAGES := ./...

.PHONY: all build run run-platform fleet test fuzz unit lint words format generate bench policy clean

all: build

# Builds all programs into bin/.
build:
	go build -ldflags "$(LDFLAGS)" -o bin/ ./cmd/...

# Runs one daemon with stand-ins for all services that it needs.
run: build
	./scripts/run.sh

# Runs a stand-in of the users' platform with two entry boxes, and sends some calls.
run-platform:
	go run ./cmd/cometlock-try

# Runs eight daemons in four availability zones and one process of stand-ins.
fleet: build
	./scripts/fleet.sh

# Runs all checks of CI.
test: format lint words unit fuzz

# Fuzzes each decoder of untrusted bytes with a fixed number of inputs.
FUZZ_INPUTS ?= 3000
fuzz:
	./scripts/fuzz.sh $(FUZZ_INPUTS)

unit:
	./scripts/unit.sh $(PACKAGES)

lint:
	go vet $(PACKAGES)
	go tool revive -config revive.toml $(PACKAGES)

# Fails if code outside platform/ contains names of the platform's protocols.
words:
	./scripts/wirewords.sh

# Fails if a file is not formatted; `go tool gofumpt -w .` formats all files.
format:
	@unformatted="$$(go tool gofumpt -l .)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

# Regenerates the generated code and files, which are committed.
generate:
	go generate $(PACKAGES)

# Prints the figures quoted in docs/. Wall-clock figures are ratios of measurements in the same run.
bench:
	go run ./cmd/cometlock-bench

# Prints the tables that compare placement policies, and writes bench-policy.json, bench-sites.json and
# the plots in bench-plots/.
policy:
	go run ./cmd/cometlock-bench policy

clean:
	rm -rf bin
