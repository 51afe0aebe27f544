#!/bin/sh
# Checks that deploy/system.toml names every Debian package that building the system needs.
#
#   check-packages.sh BUILD [DEPLOY_FILE]
#
# BUILD is a finished build of the system by Makefiles. The machines that build it hold Debian's essential packages
# and those that the deploy file lists, with their dependencies and without what they recommend. Two checks:
# - each program, header and library that the build has used belongs to a package of that set;
# - a configuration that finds nothing but the files of that set succeeds.
# Needs no network but for apt's lists, and fetches these only where there are none. Exit codes: 0 all is listed,
# 1 something is not, 2 the check could not be made.
set -eu
cd "$(dirname "$0")/.."
programs="docklift-proxy docklift-registry docklift-store"
source=$PWD
build=$(realpath "$1")
deploy=${2:-deploy/system.toml}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
trap 'exit 2' INT TERM

give_up() {
  echo "check-packages: $*" >&2
  exit 2
}

# The strings of the list `packages`, which may go over several lines.
listed=$(awk '/^packages *=/ { inside = 1 }
              inside { line = $0; sub(/#.*/, "", line); text = text line; if (line ~ /\]/) exit }
              END { n = split(text, part, "\""); for (i = 2; i <= n; i += 2) print part[i] }' "$deploy")
[ -n "$listed" ] || give_up "$deploy lists no packages"
essential=$(dpkg-query -W -f='${Essential} ${Package}\n' | awk '$1 == "yes" { print $2 }')

# What apt would install of them on a machine that has nothing.
: >"$scratch/status"
simulate() {
  # shellcheck disable=SC2086
  apt-get -s --no-install-recommends -o Dir::State::status="$scratch/status" install $essential $listed \
    >"$scratch/plan" 2>"$scratch/apt-errors"
}
if ! simulate; then
  as_root=""
  if [ "$(id -u)" != 0 ]; then as_root=sudo; fi
  $as_root apt-get update -qq || give_up "apt has no lists, and none can be fetched"
  simulate || give_up "apt can't install what $deploy lists: $(cat "$scratch/apt-errors")"
fi
awk '$1 == "Inst" { print $2 }' "$scratch/plan" | sort -u >"$scratch/set"
echo "check-packages: $deploy lists $(echo "$listed" | wc -l) packages, $(wc -l <"$scratch/set") with the essential ones and dependencies"

# ---- What the build has used: lines of "kind path" -------------------------------------------------------------

# The build's folders of the programs and, through what is linked, of our own libraries.
folder_of() { find "$build" -type d -path "*/CMakeFiles/$1.dir" -prune; }
folders=""
wanted=$programs
while [ -n "$wanted" ]; do
  next=""
  for target in $wanted; do
    folder=$(folder_of "$target")
    [ -f "$folder/link.txt" ] || give_up "$build holds no finished build of $target by Makefiles"
    case " $folders " in *" $folder "*) continue ;; esac
    folders="$folders $folder"
    next="$next $(tr ' ' '\n' <"$folder/link.txt" | sed -n 's|^[^/].*lib\([^/]*\)\.a$|\1|p; s|^lib\([^/]*\)\.a$|\1|p' |
      grep -vx "$(basename "$folder" .dir)" | tr '\n' ' ')"
  done
  wanted=$(echo "$next" | tr ' ' '\n' | sort -u | tr '\n' ' ' | sed 's/^ *//; s/ *$//')
done

cached() { sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"; }
compiler=$(cached CMAKE_CXX_COMPILER)
{
  # Programs: those that the rules name, the one that carries the rules out, and those that these start.
  for folder in $folders; do cat "$folder/build.make" "$folder/link.txt"; done |
    tr ' ' '\n' | grep '^/' | sort -u | while read -r path; do
      if [ -f "$path" ] && [ -x "$path" ]; then echo "program $path"; fi
    done
  echo "program $(cached CMAKE_MAKE_PROGRAM)"
  echo "program $(cached CMAKE_COMMAND)"
  for part in cc1plus collect2 lto-wrapper as ld; do
    echo "program $(command -v "$("$compiler" -print-prog-name=$part)")"
  done
  echo "program $(command -v capnpc-c++)"

  # Headers, from the files of dependencies that the compiler wrote, and schemas that ours import.
  # shellcheck disable=SC2086
  find $folders -name '*.d' -exec cat {} + | tr ' ' '\n' | sed -n 's|^\(/.*[^:]\):*$|header \1|p'
  find src/system -name '*.capnp' -exec sed -n 's|.*import "\(/[^"]*\)".*|\1|p' {} + | sort -u | while read -r path; do
    if [ ! -f "src$path" ]; then echo "header /usr/include$path"; fi
  done

  # Libraries and start files that the linker opens, and what the programs load.
  for program in $programs; do
    folder=$(folder_of "$program")
    command=$(sed "s| -o [^ ]*| -o $scratch/linked -Wl,--trace|" "$folder/link.txt")
    (cd "$folder/../.." && sh -c "$command") >"$scratch/trace" || give_up "$program can't be linked anew"
    sed -n 's|^\(/.*\)$|library \1|p' "$scratch/trace"
    ldd "$scratch/linked" | sed -n 's|.* => \(/[^ ]*\) .*|library \1|p; s|^[[:space:]]*\(/[^ ]*\) .*|library \1|p'
  done
} >"$scratch/found"
sort -u "$scratch/found" >"$scratch/named"
awk '{ print $1 }' "$scratch/named" >"$scratch/kinds"
awk '{ print $2 }' "$scratch/named" | xargs realpath -ms >"$scratch/paths"
xargs realpath -m <"$scratch/paths" >"$scratch/targets"
for kind in program header library; do
  grep -qx "$kind" "$scratch/kinds" || give_up "no $kind was found in $build"
done

# ---- Whose they are --------------------------------------------------------------------------------------------

# A path that a package holds must be of a package of the set, and so must what a link leads to. A path of no
# package (c++ is a link that the compiler's package makes as it is installed) is judged by what it leads to.
paste "$scratch/kinds" "$scratch/paths" "$scratch/targets" |
  grep -v -e "	$source/" -e "	$build/" | sort -u >"$scratch/used"
for list in /var/lib/dpkg/info/*.list; do
  package=${list##*/}
  package=${package%.list}
  echo "${package%:*} $list"
done >"$scratch/lists"
status=0
awk -v set="$scratch/set" -v lists="$scratch/lists" '
  function plain(path) { sub(/^\/usr\/(bin|sbin|lib)/, "/" substr(path, 6, index(substr(path, 6) "/", "/") - 1), path); return path }
  function judge(path) {  # the package that is missing for it; empty: none is
    if (!(plain(path) in owners)) return "no package"
    count = split(owners[plain(path)], owner, " ")
    for (i = 1; i <= count; ++i) if (owner[i] in inside) return ""
    return owners[plain(path)]
  }
  BEGIN {
    while ((getline name < set) > 0) inside[name] = 1
    while ((getline line < lists) > 0) {
      split(line, field, " ")
      while ((getline path < field[2]) > 0) owners[plain(path)] = owners[plain(path)] " " field[1]
      close(field[2])
    }
    FS = "\t"
  }
  {
    ++used[$1]
    missing = (plain($2) in owners) ? judge($2) : judge($3)
    if (missing == "" && $2 != $3) missing = judge($3)
    if (missing == "") next
    sub(/^ /, "", missing)
    print "check-packages: " $1 " " $2 " belongs to no listed package, but to: " missing
    ++bad
  }
  END {
    print "check-packages: " used["program"] " programs, " used["header"] " headers, " used["library"] " libraries used, " bad + 0 " of no listed package"
    exit bad > 0
  }' "$scratch/used" || status=1

# ---- The configuration with these packages alone ---------------------------------------------------------------

# Links to all that the set's packages have where CMake looks for things.
root=$scratch/root
mkdir "$root"
awk 'NR == FNR { inside[$1] = 1; next } $1 in inside { print $2 }' "$scratch/set" "$scratch/lists" |
  xargs cat | grep -E '^(/usr)?/(bin|sbin|lib|include|share/(cmake|pkgconfig))/' | sort -u |
  while read -r path; do [ -d "$path" ] || echo "$path"; done >"$scratch/files"
xargs cp -s --parents -t "$root" <"$scratch/files" 2>/dev/null || true
arguments=$(sed -n 's/^build *= *"cmake -S \. -B [^ ]* \([^&]*\)&&.*/\1/p' "$deploy")
[ -n "$arguments" ] || give_up "the build line of $deploy is not understood"
# shellcheck disable=SC2086
if cmake -S . -B "$scratch/configured" $arguments -DCMAKE_FIND_ROOT_PATH="$root" -DCMAKE_FIND_ROOT_PATH_MODE_PROGRAM=ONLY \
  -DCMAKE_FIND_ROOT_PATH_MODE_LIBRARY=ONLY -DCMAKE_FIND_ROOT_PATH_MODE_INCLUDE=ONLY \
  -DCMAKE_FIND_ROOT_PATH_MODE_PACKAGE=ONLY >"$scratch/configuration" 2>&1; then
  echo "check-packages: the configuration with these packages alone succeeds"
else
  echo "check-packages: the configuration with these packages alone fails:"
  sed 's/^/  /' "$scratch/configuration"
  status=1
fi
exit $status
