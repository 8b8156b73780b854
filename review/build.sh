#!/bin/sh
# Builds the stand-ins of all cases, with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
exec javac -Xlint:all -d classes standin/*.java
