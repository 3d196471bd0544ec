#!/usr/bin/env bash
# Runs one case: review/run-case.sh CASE RECORD. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
(. bin/find-jdk.sh) >/dev/null 2>&1 || exit 2
. bin/find-jdk.sh
[ -f target/magnoliavale.jar ] && [ -x target/runtime/bin/java ] && [ -d target/review ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$JAVA_HOME/bin/java" -Xmx256m -Djava.util.logging.config.file=/dev/null \
  -cp target/review:target/magnoliavale.jar review.Run "$1" "$folder" "$2" 2>"$folder/errors.txt"
code=$?
if [ "$code" -gt 1 ]; then
  cat "$folder/errors.txt" >&2
  code=2
fi
rm -rf "$folder"
exit "$code"
