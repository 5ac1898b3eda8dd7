# make demo   a deployment on loopback moves a good version, takes back a bad one
# make test   every test
# make bench  the figures of docs/MEASUREMENTS.md
# Each installs what it needs from Debian, builds and runs.

PACKAGES = make g++ cmake ninja-build clang-format clang-tidy python3 \
  libboost1.81-dev libboost-json1.81-dev libgrpc++-dev libprotobuf-dev \
  protobuf-compiler protobuf-compiler-grpc libgflags-dev libspdlog-dev catch2 \
  libtrompeloeil-cpp-dev librapidcheck-dev libxxhash-dev libabsl-dev
BUILD ?= build
PYTHON ?= python3

.PHONY: all deps build test demo bench moves choice overload capacity mutants fuzz sanitize lint format proto

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

# The decisions of moves over seeds and faults, on a virtual clock.
moves: build
	@mkdir -p run
	@$(BUILD)/moves --output=run/moves.json

# Ways to choose a target, on a virtual clock.
choice: build
	@$(BUILD)/choice

# Ways to queue beside a backend server under overload, on a virtual clock.
overload: build
	@$(BUILD)/overload

# Nodes at rest and with changes, at several sizes of the mesh.
capacity: build
	@KUMQUATMOOR_BUILD=$(abspath $(BUILD)) $(PYTHON) tools/capacity.py

# Breaks the code on purpose and checks that a test fails; about ten minutes.
mutants: deps
	@$(PYTHON) tools/mutants.py

# Any seeds of the replica tester: make fuzz SEED=7 SEEDS=100 STEPS=40
SEED ?= 1
SEEDS ?= 200
STEPS ?= 40
fuzz: build
	@SEED=$(SEED) SEEDS=$(SEEDS) STEPS=$(STEPS) $(BUILD)/coordination_test [fuzz]

# The unit tests and one proof with AddressSanitizer and
# UndefinedBehaviorSanitizer, in a build folder of their own.
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

# Generated code is committed; this makes it anew.
proto: deps
	protoc -Iproto --cpp_out=gen --grpc_out=gen \
	  --plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) control.proto
