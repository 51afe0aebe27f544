#!/bin/sh
# Installs what is missing, checks the sources, configures, builds and runs all tests: plain, under sanitizers, a program
# that uses the installed package, and a short run of the rigs. JOBS is how many run side by side (all cores).
#
# KNOWN-RED.txt, where there is one, names tests that fail for a fault that is not mended yet, one line each: test, cause,
# issue. These alone are passed over, and printed. A test is named as ctest does, a story of system_test as
# system.SUITE/STORY (tests/system/CMakeLists.txt leaves it out of its suite).
set -eu
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc 2>/dev/null || echo 2)}

part() {
  part_name=$1
  shift
  part_began=$(date +%s)
  "$@"
  times="$times$(printf '%5d s  %s' $(($(date +%s) - part_began)) "$part_name")
"
}
times=""

known_red=""
if [ -f KNOWN-RED.txt ]; then
  if grep . KNOWN-RED.txt | grep -qv '^[^, ][^,]*,[^,]*[^, ][^,]*,.*[^ ]'; then
    echo "KNOWN-RED.txt has a line that is not 'test, cause, issue'" >&2
    exit 1
  fi
  echo "Passed over, by KNOWN-RED.txt:"
  sed 's/^/  /' KNOWN-RED.txt
  # As a pattern of ctest's; names of stories are none of its names.
  known_red=$(grep . KNOWN-RED.txt | sed 's/,.*//; s/[].[^$*+?(){}|\\]/\\&/g' | paste -sd '|' -)
fi
run_tests() {
  if [ -n "$known_red" ]; then
    ctest --test-dir "$1" --output-on-failure -j "$jobs" -E "^($known_red)\$"
  else
    ctest --test-dir "$1" --output-on-failure -j "$jobs"
  fi
}

part "packages" sh scripts/packages.sh libgtest-dev librapidcheck-dev libbenchmark-dev clang-format-14 clang-tidy-14
part "formatter and linter" sh scripts/lint.sh build-tidy "$jobs"

build_plain() {
  cmake -S . -B build-test -DCMAKE_BUILD_TYPE=Release -DSNOWKNOT_TESTS=ON -DDOCKLIFT_SYSTEM=ON -DDOCKLIFT_RIGS=ON -DCMAKE_COMPILE_WARNING_AS_ERROR=ON
  cmake --build build-test -j "$jobs"
}
run_rigs() {
  build-test/rigs/fleet --short
  build-test/rigs/redis --short
  build-test/rigs/graphql --short
  build-test/rigs/streaming --short
  build-test/rigs/graphql_bench --short
  build-test/rigs/wheel_bench --short
  build-test/rigs/replica --short
  build-test/rigs/powerloss --short
}
use_package() {
  cmake --install build-test --prefix "$PWD/build-test/prefix" >/dev/null
  cmake -S examples -B build-test/consumer -DCMAKE_PREFIX_PATH="$PWD/build-test/prefix"
  cmake --build build-test/consumer -j "$jobs"
  build-test/consumer/snowknot_example
}
build_sanitized() {
  cmake -S . -B build-asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS_RELWITHDEBINFO='-O1 -g1' -DSNOWKNOT_TESTS=ON -DDOCKLIFT_SYSTEM=ON -DSNOWKNOT_SANITIZE=ON
  cmake --build build-asan -j "$jobs"
}

part "build" build_plain
part "packages of deploy/system.toml" sh scripts/check-packages.sh build-test
part "tests" run_tests build-test
part "rigs" run_rigs
part "installed package" use_package
part "build under sanitizers" build_sanitized
part "tests under sanitizers" run_tests build-asan
printf 'Time by part:\n%s' "$times"
