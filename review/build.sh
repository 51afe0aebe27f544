#!/bin/sh
# Builds every stand-in that the scripts of this review start; a C++ compiler is all that it needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -g1 -Wall -Wextra -pthread -o "target/review/case-$number" "$case"
done
