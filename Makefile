# Thin front of CMake; every target works on a fresh Debian 12 machine.
BUILD ?= build
SEEDS ?= 200
FROM ?= 1
SECONDS ?= 60
C_FILES = $(shell git ls-files 'src/*.[ch]' 'platform/*.[ch]' 'test/*.[ch]' 'bench/*.[ch]' | \
	grep -v '_xdr\.[ch]$$')
C_SOURCES = $(filter %.c,$(C_FILES))

.PHONY: all deps build test demo run lint format format-check bench \
	bench-micro soak fault-soak fuzz clean

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
	$(BUILD)/bench/bench_dispatch

fuzz:
	@mkdir -p $(BUILD)
	clang -g -O1 -D_GNU_SOURCE -fsanitize=fuzzer,address -Isrc \
	    $$(pkg-config --cflags glib-2.0) test/fuzz/http_reader_fuzz.c \
	    src/godwitvale/http/reader.c src/godwitvale/http/head.c \
	    -o $(BUILD)/http_reader_fuzz $$(pkg-config --libs glib-2.0) \
	    -lhttp_parser
	$(BUILD)/http_reader_fuzz -max_total_time=$(SECONDS) -max_len=2048
	@mkdir -p $(BUILD)/platform_corpus
	clang -g -O1 -D_GNU_SOURCE \
	    -fsanitize=fuzzer,address,undefined,float-cast-overflow \
	    -fno-sanitize-recover=all -Isrc -I. \
	    $$(pkg-config --cflags glib-2.0 json-c libxxhash) \
	    test/fuzz/platform_fuzz.c platform/*.c \
	    src/godwitvale/core/deployment.c src/godwitvale/core/hash.c \
	    src/godwitvale/core/config_*.c src/godwitvale/core/client_limits.c \
	    src/godwitvale/core/handle_table.c \
	    src/godwitvale/http/head.c src/godwitvale/http/address.c \
	    src/godwitvale/site/*.c \
	    -o $(BUILD)/platform_fuzz \
	    $$(pkg-config --libs glib-2.0 json-c libxxhash) \
	    -lhttp_parser
	$(BUILD)/platform_fuzz -max_total_time=$(SECONDS) -max_len=4096 \
	    -dict=test/fuzz/json.dict \
	    $(BUILD)/platform_corpus test/fuzz/platform

fault-soak: build
	$(BUILD)/soak --bindir $(BUILD) --seeds $(SEEDS) --from $(FROM)

soak: build
	$(BUILD)/test/scenario/scenario --soak $(SEEDS) --from $(FROM)

clean:
	rm -rf $(BUILD)
