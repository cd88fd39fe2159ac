#!/bin/sh
# Builds the stand-ins of the cases of the second review (4 to 8) into target/review-2.
# Needs only the packages of deploy/service.toml and no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wno-restrict -DASIO_STANDALONE -DASIO_NO_DEPRECATED -I$root/include -I$root/review/common-2"
for source in http_client http_server socket_budget; do
  g++ $flags -c "$root/src/net/$source.cc" -o "$out/$source.o" &
done
for folder in "$root"/review/[45678]; do
  [ -f "$folder/driver.cc" ] || continue
  g++ $flags -c "$folder/driver.cc" -o "$out/case-$(basename "$folder").o" &
done
wait
for folder in "$root"/review/[45678]; do
  [ -f "$folder/driver.cc" ] || continue
  n=$(basename "$folder")
  g++ "$out/case-$n.o" "$out/http_client.o" "$out/http_server.o" "$out/socket_budget.o" \
    -lhttp_parser -lpthread -o "$out/case-$n"
done
