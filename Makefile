# The two commands of the README are `make demo` and `make test`.
BUILD ?= build/release
PACKAGES = g++ cmake ninja-build clang clang-format clang-tidy curl bc \
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev \
    libnghttp2-dev libgflags-dev liblog4cxx-dev libcriterion-dev \
    librapidcheck-dev libprotobuf-dev protobuf-compiler libxxhash-dev \
    libclang-rt-14-dev

.PHONY: install build test demo format

# Installs the declared packages where one of them is missing.
install:
	@dpkg -s $(PACKAGES) > /dev/null 2>&1 || \
	    (apt-get update && apt-get install -y $(PACKAGES))

build: install
	cmake --preset release > /dev/null
	ninja -C $(BUILD)

# Tests listed in KNOWN-RED.txt are passed over, and only these.
test: build
	ctest --test-dir $(BUILD) --output-on-failure $$(scripts/known_red.sh)

demo: build
	scripts/demo.sh $(BUILD)

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

.PHONY: bench capacity fuzz failure-tests
# Replays every trace and writes build/figures.txt.
bench: build
	scripts/bench.sh $(BUILD)

# Prints the measured points behind docs/CAPACITY.md.
capacity: build
	$(BUILD)/stand_ins/measure_capacity

# A long random run against the promises; prints how to repeat a failure.
fuzz: build
	RC_PARAMS="max_success=5000 max_size=80" \
	    $(BUILD)/packages/replay/promise_fuzz_test -j1

# Real gateways under random faults: make soak SEED=7 SECONDS=10
SEED ?= 1
SECONDS ?= 10
.PHONY: soak
soak: build
	$(BUILD)/platform/soak/soak --seed=$(SEED) --seconds=$(SECONDS) \
	    --program=$(BUILD)/packages/programs/tamarackhoistd

failure-tests: build
	scripts/failure_tests.sh $(BUILD)
