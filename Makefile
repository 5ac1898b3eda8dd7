# make demo   moves a good version and rolls back a bad one in a deployment on
#             loopback
# make test   runs every test except those that KNOWN-RED.txt lists
# make bench  measures the figures of docs/MEASUREMENTS.md
# Each target installs the Debian packages that it needs and builds first.

PACKAGES = make g++ cmake ninja-build clang-format clang-tidy python3 \
  libboost1.81-dev libboost-json1.81-dev libgrpc++-dev libprotobuf-dev \
  protobuf-compiler protobuf-compiler-grpc libgflags-dev libspdlog-dev catch2 \
  libtrompeloeil-cpp-dev librapidcheck-dev libssl-dev libxxhash-dev libabsl-dev
BUILD ?= build
PYTHON ?= python3

.PHONY: all deps build test demo bench moves choice overload capacity mutants fuzz soak sanitize lint format proto

all: build

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update && apt-get install -y --no-install-recommends $(PACKAGES); }

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

demo: build
	@KUMQUATMOOR_BUILD=$(abspath $(BUILD)) $(PYTHON) tools/demo.py

test: build
	@KUMQUATMOOR_BUILD=$(abspath $(BUILD)) tools/run_tests.sh

bench: build
	@KUMQUATMOOR_BUILD=$(abspath $(BUILD)) $(PYTHON) tools/bench.py

# Simulates moves over seeds and faults on a virtual clock and reports their
# decisions.
moves: build
	@mkdir -p run
	@$(BUILD)/moves --output=run/moves.json

# Compares strategies for choosing a target, in simulated time.
choice: build
	@$(BUILD)/choice

# Compares queueing strategies at a backend server under overload, in simulated
# time.
overload: build
	@$(BUILD)/overload

# Measures nodes at rest and during changes at several mesh sizes.
capacity: build
	@KUMQUATMOOR_BUILD=$(abspath $(BUILD)) $(PYTHON) tools/capacity.py

# Mutation tests: breaks the code in one place at a time and checks that a test
# fails. Takes about ten minutes.
mutants: deps
	@$(PYTHON) tools/mutants.py

# Randomised tests of the coordination layer with SEEDS seeds from SEED on:
#   make fuzz SEED=7 SEEDS=100 STEPS=40
SEED ?= 1
SEEDS ?= 200
STEPS ?= 40
fuzz: build
	@SEED=$(SEED) SEEDS=$(SEEDS) STEPS=$(STEPS) $(BUILD)/coordination_test [fuzz]

# Fault soaks on real processes, RUNS seeds from SEED on, SECONDS each:
#   make soak SEED=7 SECONDS=120 RUNS=50
SECONDS ?= 60
RUNS ?= 1
soak: build
	@failed=0; for seed in $$(seq $(SEED) $$(($(SEED) + $(RUNS) - 1))); do \
	  KUMQUATMOOR_BUILD=$(abspath $(BUILD)) $(PYTHON) tools/soak.py $$seed \
	    --seconds $(SECONDS) || failed=1; done; exit $$failed

# The unit tests of src/ and one proof with AddressSanitizer and
# UndefinedBehaviorSanitizer, in a separate build directory.
sanitize: deps
	@cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	  -DCMAKE_CXX_FLAGS_DEBUG=-O1 \
	  -DKUMQUATMOOR_SANITIZE=address,undefined >/dev/null
	@cmake --build build-sanitize
	@UBSAN_OPTIONS=halt_on_error=1 KUMQUATMOOR_BUILD=$(abspath build-sanitize) \
	  ctest --test-dir build-sanitize --output-on-failure \
	  -R "^(protocol|state|coordination|transport|node|proof_answers_are_whole_and_own)$$"

lint: build
	@KUMQUATMOOR_BUILD=$(BUILD) tools/lint.sh

format:
	@git ls-files '*.cc' '*.h' | grep -v '^gen/' | xargs clang-format -i

# Regenerates the code in gen/, which is committed.
proto: deps
	protoc -Iproto --cpp_out=gen --grpc_out=gen \
	  --plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) control.proto
