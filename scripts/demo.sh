#!/bin/sh
# A newcomer's first look: installs what is missing, builds, starts the platform's stand-in and three nodes, sends
# requests through them, prints what was served, refused and leased, and stops clean. Everything is on 127.0.0.0/8.
set -eu
cd "$(dirname "$0")/.."
sh scripts/packages.sh curl
cmake -S . -B build-demo -DCMAKE_BUILD_TYPE=Release -DDOCKLIFT_RIGS=ON >/dev/null
cmake --build build-demo -j "$(nproc 2>/dev/null || echo 2)" --target docklift platform

home=$(mktemp -d)
control=127.0.0.1:17400
started=""
stop() {
  for pid in $started; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in $started; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$home"
}
trap stop EXIT INT TERM

build-demo/standins/platform --listen $control >"$home/platform.log" 2>&1 &
started="$!"
until curl -sf http://$control/addresses >/dev/null; do
  kill -0 "$started" 2>/dev/null || { cat "$home/platform.log"; exit 1; }
  sleep 0.1
done

nodes=""
for i in 0 1 2; do
  listen=127.0.0.$((i + 10)):17070
  curl -sf "http://$control/config?index=$i&nodes=3&listen=$listen" >"$home/n$i.json"
  printf '[daemon]\nplatform_config = "%s"\npid_file = "%s"\n' "$home/n$i.json" "$home/n$i.pid" >"$home/n$i.toml"
  build-demo/docklift config check "$home/n$i.toml"
  build-demo/docklift run --config "$home/n$i.toml" 2>"$home/n$i.log" &
  started="$! $started" nodes="$nodes $!"
done
for i in 0 1 2; do
  until curl -sf "http://127.0.0.$((i + 10)):17070/-/ready" >/dev/null; do sleep 0.1; done
done
echo "three nodes are ready"

# ask NODE ID CLASS PLAN CUSTOMER UNITS: prints the status
ask() {
  set -- "$1" "$2" "$3" "$4" "$(printf '%016x' "$5")" "$6"
  more="" method=GET
  [ "$3" = route ] || method=POST
  [ "$3" != notice-keyed ] || more="Idempotency-Key: k$2"
  curl -s -o /dev/null -w '%{http_code}\n' -X $method -H "X-Request-ID: $2" -H "X-Priority-Class: $3" \
    -H "X-Plan: $4" -H "Cookie: client=$5" -H 'X-Timeout-Ms: 2000' -H "X-Quota: units=$6,spread=3,first=0" \
    ${more:+-H "$more"} $([ $method = GET ] || echo "-d notice") "http://127.0.0.$(($1 + 10)):17070/$3"
}
n=0
for class in route notice-keyed gate-notice; do
  for i in 0 1 2 0 1 2 0 1 2 0; do n=$((n + 1)); ask $i "demo$n" $class basic $((n % 5 + 1)) 1; done
done >"$home/mixed"
# One customer asks for far more than its quota: its burst is served, the rest is refused.
seq 1 900 | xargs -P 8 -I '{}' curl -s -o /dev/null -w '%{http_code}\n' -H 'X-Request-ID: flood{}' \
  -H 'X-Priority-Class: route' -H 'X-Plan: basic' -H 'Cookie: client=00000000000000ff' -H 'X-Timeout-Ms: 2000' \
  -H 'X-Quota: units=4,spread=3,first=0' http://127.0.0.10:17070/route >"$home/flood"

echo "30 mixed requests through three nodes (status, how many):"
sort "$home/mixed" | uniq -c
echo "900 requests of one customer at 4 units each, 400 units of burst and 200 a second (429 is refused):"
sort "$home/flood" | uniq -c
echo "what reached the app servers, and the units leased at the counter:"
curl -s http://$control/ledger

for pid in $nodes; do kill -TERM "$pid"; done
for pid in $nodes; do wait "$pid" && echo "a node drained and ended with 0"; done
