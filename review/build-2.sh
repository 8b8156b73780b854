#!/bin/sh
# Builds the stand-ins and the tests of cases 6 to 10, after the build of the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2
exec javac -Xlint:all -Werror -d target/review-2 review/standin-2/*.java
