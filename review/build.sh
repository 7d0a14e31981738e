#!/bin/sh
# Builds the stand-ins of the cases, which need only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -Xlint:-serial -d target stand-ins/*.java
