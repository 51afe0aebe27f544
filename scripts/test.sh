#!/bin/sh
# Installs what is missing, configures, builds and runs all tests: plain, under sanitizers, a program that uses the
# installed package, and a short run of the rigs.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc 2>/dev/null || echo 2)
sh scripts/packages.sh libgtest-dev librapidcheck-dev libbenchmark-dev

cmake -S . -B build-test -DCMAKE_BUILD_TYPE=Release -DSNOWKNOT_TESTS=ON -DDOCKLIFT_SYSTEM=ON -DDOCKLIFT_RIGS=ON -DCMAKE_COMPILE_WARNING_AS_ERROR=ON
cmake --build build-test -j "$jobs"
sh scripts/check-packages.sh build-test
ctest --test-dir build-test --output-on-failure -j "$jobs"
build-test/rigs/fleet --short
build-test/rigs/redis --short
build-test/rigs/graphql --short
build-test/rigs/streaming --short
build-test/rigs/graphql_bench --short
build-test/rigs/wheel_bench --short
build-test/rigs/replica --short
build-test/rigs/powerloss --short

cmake --install build-test --prefix "$PWD/build-test/prefix" >/dev/null
cmake -S examples -B build-test/consumer -DCMAKE_PREFIX_PATH="$PWD/build-test/prefix"
cmake --build build-test/consumer -j "$jobs"
build-test/consumer/snowknot_example

cmake -S . -B build-asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS_RELWITHDEBINFO='-O1 -g1' -DSNOWKNOT_TESTS=ON -DDOCKLIFT_SYSTEM=ON -DSNOWKNOT_SANITIZE=ON
cmake --build build-asan -j "$jobs"
ctest --test-dir build-asan --output-on-failure -j "$jobs"
