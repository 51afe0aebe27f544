#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-2/$name" "$source" -pthread
done
