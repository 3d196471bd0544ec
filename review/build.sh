#!/usr/bin/env bash
# Builds the stand-ins of all cases, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -Xlint:all,-processing -proc:none -cp target/magnoliavale.jar -d target/review review/standin/*.java
