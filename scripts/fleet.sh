#!/bin/sh
# Builds the system and runs a small fleet of it on 127.0.0.0/8: three core machines (store and registry each) and two
# proxies. Sends a first configuration, reads it back from each machine, and asks each proxy for its route. Then it ends
# its processes, or goes on until Ctrl-C with --stay. State and logs are kept in a folder of their own until then.
set -eu
cd "$(dirname "$0")/.."
sh scripts/packages.sh curl
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release -DDOCKLIFT_SYSTEM=ON >/dev/null
cmake --build build -j "$(nproc)" --target docklift-proxy docklift-registry docklift-store

folder=$(mktemp -d)
running=""
end_all() {
  trap - EXIT INT TERM
  # shellcheck disable=SC2086
  [ -z "$running" ] || kill $running 2>/dev/null || true
  wait
  rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 1' INT TERM

network=127.60.1
start() { # MACHINE ZONE PROGRAM...
  machine=$1
  zone=$2
  shift 2
  mkdir -p "$folder/$machine"
  {
    printf 'hostname=m%s\nbind_ip=%s.%s\naz=%s\nrgn=r1\n' "$machine" "$network" "$machine" "$zone"
    printf 'azs.z1=r1\nazs.z2=r1\nazs.z3=r1\nport_range=27460,27475\n'
    printf 'seeds=%s.1:28383,%s.2:28383,%s.3:28383\n' "$network" "$network" "$network"
    printf 'bootstrap=true\nvoting=true\ntolerance.nodes=1\ntolerance.azs=1\nlimits.nofile=1024\n'
    case "$*" in
      *proxy*) printf 'listen.http=%s.%s:28080\n' "$network" "$machine" ;;
      *) printf 'datadir=%s\nlisten.ctl=%s.%s:28383\nlisten.dir=%s.%s:28384\n' "$folder/$machine" "$network" "$machine" "$network" "$machine" ;;
    esac
  } >"$folder/$machine/settings.conf"
  for program in "$@"; do
    DOCKLIFT_SETTINGS="$folder/$machine/settings.conf" "build/docklift-$program" >>"$folder/$machine/log" 2>&1 &
    running="$running $!"
  done
}
for machine in 1 2 3; do start "$machine" "z$machine" store registry; done
for machine in 4 5; do start "$machine" z1 proxy; done

configuration='{"gen":"00000001","parent":"00000000","limits":{"hdr_bytes":16384},
  "accts":[{"name":"t1","apikeys":["k1"],"per_s":10,"burst":10}],
  "listeners":[{"vhost":"h.example","policy":[{"name":"r1","kind":"idempotent","target_ms":500,
    "match":{"pfx":"/a/"},"action":{"svc":"alpha","tmo_ms":1000,"tries":2}}]}],
  "clusters":[{"name":"alpha","hc_path":"/healthz","max_conns":100,"warmup_s":3.0,"cold_per_s":5}]}'
# The operator's way: the same order again, to the next machine, until there is a clear answer.
tries=0
until curl -sf -m 1 --json "$configuration" "http://$network.$((tries % 3 + 1)):28383/Config.Replace" >/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 40 ] || { tail "$folder"/*/log; exit 1; }
  sleep 0.25
done
echo "version 1 is acknowledged"
for machine in 1 2 3; do
  printf 'core machine %s reads: ' "$machine"
  curl -s -m 5 --retry 5 --retry-all-errors -f "http://$network.$machine:28383/Config.Read" | cut -c1-60
done
for machine in 4 5; do
  printf 'proxy %s answers: %s (503: the route is known, and no server of its service has come yet)\n' "$machine" \
    "$(curl -s -m 5 --retry 5 -o "$folder/answer" -w '%{http_code}' -H 'Host: h.example' -H 'Key: k1' -H 'Attempt-Id: 1' -H 'Deadline: 900' "http://$network.$machine:28080/a/x")"
done
if [ "${1:-}" = --stay ]; then
  echo "operator and servers: http://$network.1:28383 (.2, .3); clients: http://$network.4:28080 (.5); logs: $folder. Ctrl-C ends it."
  wait
fi
