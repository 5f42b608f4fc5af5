# Thin front end over CMake; see src/cmake/ for the build rules.
BUILD ?= build
TYPE ?= RelWithDebInfo

.PHONY: all packages configure build test check-spec demo bench capacity soak gateway-soak fleet-cost fuzz format lint clean

all: build

packages:
	@scripts/install_packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(TYPE) >$(BUILD).configure.log 2>&1 \
		|| (cat $(BUILD).configure.log; exit 1)
	@rm -f $(BUILD).configure.log

build: configure
	@cmake --build $(BUILD)

test: build
	@scripts/run_tests.sh $(BUILD)

demo: build
	@python3 scripts/demo.py --build $(BUILD)

check-spec:
	@spec/run.sh $(BUILD)

# Measures the slopes of docs/CAPACITY.md and writes its tables; QUICK=1 takes under 3 minutes.
capacity: build
	@python3 scripts/capacity.py $(BUILD) $(if $(QUICK),--quick)

format:
	@git ls-files -z -- '*.cpp' '*.hpp' | xargs -0 clang-format -i

lint: build
	@scripts/run_linter.sh $(BUILD)

bench: build
	@python3 scripts/bench $(BUILD) $(if $(QUICK),--quick)

clean:
	@rm -rf $(BUILD)

# make soak SECONDS=600 SEED=3
SECONDS ?= 60
SEED ?= 1
soak: build
	@python3 scripts/soak.py $(BUILD) --seconds $(SECONDS) --seed $(SEED)

# make gateway-soak SECONDS=40 SEED=7 COPIES=10: gateway nodes behind proxies
COPIES ?= 1
gateway-soak: build
	@python3 platform/testsuite/gateway_soak/soak.py $(BUILD) --seconds $(SECONDS) \
		--seed $(SEED) --copies $(COPIES)

# make fleet-cost NODES="30 90": what a calm fleet of gateway nodes costs each node
NODES ?= 10 30 90
fleet-cost: build
	@python3 platform/testsuite/fleet_cost/fleet_cost.py $(BUILD) --nodes $(NODES)

# make fuzz INPUTS=1000000 SEED=3: mutated input for every reader of messages and files
INPUTS ?= 100000
fuzz: build
	@testsuite/malformed_input/run.sh $(BUILD) $(SEED) $(INPUTS)
