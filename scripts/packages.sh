#!/bin/sh
# Installs the Debian packages that building and testing need, where they are missing. Another Debian may have a later
# Boost under the plain name.
set -eu
missing=""
for package in cmake g++ make nlohmann-json3-dev libtomlplusplus-dev libcli11-dev libssl-dev libsodium-dev libxxhash-dev \
  libcxxopts-dev liblog4cxx-dev robin-map-dev capnproto libcapnp-dev libleveldb-dev libzstd-dev "$@"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
update=""
# The tests' part of Boost has the version in its name as well.
test_part() { dpkg -s libboost-test1.81-dev >/dev/null 2>&1 || dpkg -s libboost-test-dev >/dev/null 2>&1; }
if ! dpkg -s libboost1.81-dev >/dev/null 2>&1 && ! dpkg -s libboost-dev >/dev/null 2>&1; then update=1; fi
want_test=""
case " $* " in *" libgtest-dev "*) test_part || want_test=1 ;; esac
[ -z "$missing$update$want_test" ] && exit 0
as_root=""
if [ "$(id -u)" != 0 ]; then as_root=sudo; fi
$as_root apt-get update -qq
if [ -n "$update" ]; then
  if apt-cache show libboost1.81-dev >/dev/null 2>&1; then missing="$missing libboost1.81-dev"; else missing="$missing libboost-dev"; fi
fi
if [ -n "$want_test" ]; then
  if apt-cache show libboost-test1.81-dev >/dev/null 2>&1; then missing="$missing libboost-test1.81-dev"; else missing="$missing libboost-test-dev"; fi
fi
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq $missing
