#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/edge-node.jar ] && [ -d review/classes ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 java -Xmx512m -cp review/classes SlowReaders "$here/record.txt" "$folder" "${SECONDS_OF_LOAD:-60}" &
pid=$!
wait "$pid"
code=$?
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
