# The two commands of the README: `make demo` and `make test`. Both install what is missing, then build.
BUILD := build/release

.PHONY: demo test build packages format lint asan tsan capacity

packages:
	tools/install-packages

$(BUILD)/build.ninja: packages
	cmake --preset release

build: packages $(BUILD)/build.ninja
	cmake --build $(BUILD)

demo: build
	$(BUILD)/src/cli/quincewick demo

test: build
	tools/run-tests $(BUILD)

# Measures what docs/CAPACITY.md states.
capacity: build
	$(BUILD)/bench/capacity/capacity_bench

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i

lint: build
	tools/check-lint $(BUILD)

asan tsan: packages
	cmake --preset $@
	cmake --build build/$@
	ctest --test-dir build/$@ --output-on-failure --parallel 6
