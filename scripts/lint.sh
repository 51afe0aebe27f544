#!/bin/sh
# The formatter and the linter over the system's sources, and the formatter over the edge node's decision module, its
# interface and src/members, with the configurations in the repository. Both come in one version, so that the verdict is
# the same on each machine.
#
#   lint.sh BUILD [JOBS]
#
# BUILD is a folder of its own for the linter: the compiler's commands without precompiled headers, which the linter
# can't read. Exit codes: 0 clean, 1 findings (each is printed), 2 a check could not be made or took too long.
set -eu
cd "$(dirname "$0")/.."
build=$1
jobs=${2:-$(nproc)}
format=clang-format-14
tidy=clang-tidy-14
file_limit_s=300  # for one source; it takes seconds

echo "lint: $format"
git ls-files -z 'src/system/*.cpp' 'src/system/*.hpp' 'src/net/*.cpp' 'src/net/*.hpp' 'tests/system/*.cpp' 'tests/system/*.hpp' \
  'standins/system/*.cpp' 'standins/system/*.hpp' 'src/logic.cpp' 'src/settings.cpp' 'src/helpers.hpp' 'include/snowknot/*.hpp' \
  'src/members/*.cpp' 'src/members/*.hpp' | xargs -0 "$format" --dry-run -Werror

echo "lint: $tidy"
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release -DDOCKLIFT_SYSTEM=ON -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
cmake --build "$build" -j "$jobs" --target system_wire >/dev/null  # sources include what is generated
findings=$(mktemp)
trap 'rm -f "$findings"' EXIT
export build tidy file_limit_s
# Judged by what is said of our own files: this version of clang does not read every construct of the C++ and Cap'n
# Proto headers that the compiler builds (its errors there name files outside this folder).
# shellcheck disable=SC2016
git ls-files 'src/system/*.cpp' | xargs -P "$jobs" -n 1 sh -c '
  status=0
  said=$(timeout "$file_limit_s" "$tidy" -p "$build" --quiet "$1" 2>/dev/null) || status=$?
  if [ "$status" = 124 ]; then echo "$PWD/$1:1:1: error: the linter took over $file_limit_s s"; fi
  if [ "$status" -gt 1 ] && [ "$status" != 124 ]; then echo "$PWD/$1:1:1: error: the linter ended with $status"; fi
  echo "$said" | grep -E "^$PWD/src/system/.*: (error|warning): " || true' tidy >"$findings"
if [ -s "$findings" ]; then
  sort -u "$findings" | sed "s|^$PWD/||"
  exit 1
fi
echo "lint: clean"
