#!/bin/bash
# Builds the stand-ins that the cases start, into review/build. The controllers are built by the
# command of the deploy file, before this.
set -e
cd "$(dirname "$0")"
mkdir -p build
flags="-std=c++20 -O1 -DASIO_STANDALONE -I../include -Icommon"
objects=""
pids=""
for source in common/world.cc ../src/net/http_client.cc ../src/net/http_server.cc \
  ../src/net/socket_budget.cc; do
  object="build/$(basename "$source" .cc).o"
  g++ $flags -c "$source" -o "$object" &
  pids="$pids $!"
  objects="$objects $object"
done
for case in [0-9]*/case.cc; do
  [ -e "$case" ] || continue
  object="build/case$(dirname "$case").o"
  g++ $flags -c "$case" -o "$object" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
for case in [0-9]*/case.cc; do
  [ -e "$case" ] || continue
  n=$(dirname "$case")
  g++ "build/case$n.o" $objects -lhttp_parser -lpthread -o "build/case$n"
done
