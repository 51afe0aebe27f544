#!/bin/sh
# Configures, builds and runs all tests: plain, under sanitizers, and a program that uses the installed package.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc 2>/dev/null || echo 2)

cmake -S . -B build-test -DCMAKE_BUILD_TYPE=Release -DSNOWKNOT_TESTS=ON -DCMAKE_COMPILE_WARNING_AS_ERROR=ON
cmake --build build-test -j "$jobs"
ctest --test-dir build-test --output-on-failure -j "$jobs"

cmake --install build-test --prefix "$PWD/build-test/prefix" >/dev/null
cmake -S examples -B build-test/consumer -DCMAKE_PREFIX_PATH="$PWD/build-test/prefix"
cmake --build build-test/consumer -j "$jobs"
build-test/consumer/snowknot_example

cmake -S . -B build-asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSNOWKNOT_TESTS=ON -DSNOWKNOT_SANITIZE=ON
cmake --build build-asan -j "$jobs"
ctest --test-dir build-asan --output-on-failure -j "$jobs"
