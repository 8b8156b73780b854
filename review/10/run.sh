#!/bin/sh
# Runs this case, see claim.txt; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/edge-node.jar ] && [ -f target/review-2/SlowStream.class ] || {
  echo "not built: run the deploy file's build, then review/build-2.sh"
  exit 2
}
timeout -k 3 115 java -Xmx512m -cp target/review-2 SlowStream review/10 &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM
wait "$pid"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
