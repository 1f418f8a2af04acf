BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = curl g++ cmake ninja-build ccache clang-format clang-tidy libcivetweb-dev libnghttp2-dev libboost-dev \
	libdocopt-dev libspdlog-dev librapidcheck-dev nlohmann-json3-dev libssl-dev libgtest-dev libbenchmark-dev \
	libxxhash-dev libtomlplusplus-dev

.PHONY: all install build format format-check tidy test deploy-check check demo bench clean

all: build

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && apt-get install -y -q $(PACKAGES); }

build:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

format-check:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror

tidy:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@git ls-files '*.cpp' | xargs -P $(JOBS) -n 2 clang-tidy --quiet -p $(BUILD) 2>/dev/null

test: build
	@scripts/run-tests.sh $(BUILD) $(JOBS)

deploy-check:
	@scripts/deploy-build.sh

check: install format-check build tidy test deploy-check

demo: install build
	@scripts/demo.sh $(BUILD)

bench: install build
	@scripts/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
