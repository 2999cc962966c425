# Thin front of CMake and Ninja. `make demo` and `make test` need nothing done before.

BUILD ?= build
SEED ?= 1
SECONDS ?= 60
SOURCES = $(shell git ls-files '*.cpp' '*.hpp' | grep -v /generated/)

# Builds of several clones share what is compiled.
export CCACHE_BASEDIR ?= $(CURDIR)
export CCACHE_NOHASHDIR ?= 1

.PHONY: setup build demo test soak sanitize bench format lint fuzz generate

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD)

demo: build
	@scripts/demo.sh $(BUILD)

test: build
	@scripts/test.sh $(BUILD)

soak: build
	@platform/tests/soak.py $(BUILD)/apps/laburnumd --seed $(SEED) --seconds $(SECONDS)
	@platform/tests/soak_group.py $(BUILD)/apps/laburnumd --seed $(SEED) --seconds $(SECONDS)

sanitize: setup
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DLABURNUM_SANITIZE=ON -DLABURNUM_BUILD_BENCH=OFF -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@ninja -C $(BUILD)-sanitize
	@scripts/test.sh $(BUILD)-sanitize

bench: build
	@rm -f $(BUILD)/bench/report.json
	@$(BUILD)/bench/laburnum-bench run all --seed $(SEED) --report $(BUILD)/bench/report.json
	@scripts/bench_live.py $(BUILD) $(BUILD)/bench/report.json $(SEED)
	@scripts/capacity.py $(BUILD)/bench/report.json docs/CAPACITY.md

format: setup
	@clang-format -i $(SOURCES)

lint: setup
	@scripts/check_names.sh
	@clang-format --dry-run -Werror $(SOURCES)
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@git ls-files '*.cpp' | grep -v -E '/(tests|generated)/|fuzz' | xargs scripts/tidy.sh $(BUILD)

fuzz: setup
	@scripts/fuzz.sh

generate:
	@flatc --cpp --scoped-enums --gen-object-api -o wire/include/laburnum/wire/generated wire/include/laburnum/wire/frames.fbs
