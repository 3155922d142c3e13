# Thin front of CMake; every target works on a fresh Debian 12 machine.
BUILD ?= build
SEEDS ?= 200
FROM ?= 1
C_FILES = $(shell git ls-files 'src/*.[ch]' 'platform/*.[ch]' 'test/*.[ch]' 'bench/*.[ch]' | \
	grep -v '_xdr\.[ch]$$')
C_SOURCES = $(filter %.c,$(C_FILES))

.PHONY: all deps build test demo run lint format format-check bench \
	bench-micro soak clean

all: build

deps:
	@scripts/install-deps.sh

build:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: deps build
	@BUILD=$(BUILD) scripts/run-tests.sh

demo: deps build
	@BUILD=$(BUILD) scripts/demo.sh

run: deps build
	@BUILD=$(BUILD) scripts/run.sh

lint: build
	@scripts/check-layout.sh
	@printf '%s\n' $(C_SOURCES) | xargs -P4 -n2 clang-tidy --quiet -p $(BUILD)

format:
	clang-format -i $(C_FILES)

format-check:
	clang-format --dry-run --Werror $(C_FILES)

bench: build
	$(BUILD)/bench/bench_policy

bench-micro: build
	$(BUILD)/bench/bench_micro

soak: build
	$(BUILD)/test/scenario/scenario --soak $(SEEDS) --from $(FROM)

clean:
	rm -rf $(BUILD)
