#!/bin/sh
# Starts the jar that follows this script in the same file. Needs Java 25 or newer.
find_java() {
  for candidate in "$JAVA_HOME/bin/java" "$(command -v java)" /usr/lib/jvm/*/bin/java /opt/java/*/bin/java; do
    [ -x "$candidate" ] || continue
    major=$("$candidate" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1)
    if [ "${major:-0}" -ge 25 ]; then
      echo "$candidate"
      return 0
    fi
  done
  return 1
}
java=$(find_java) || {
  echo "magnoliavale: needs Java 25 or newer; install one or set JAVA_HOME" >&2
  exit 1
}
exec "$java" ${MAGNOLIAVALE_JAVA_OPTIONS:--XX:+UseSerialGC} -Xmx"${MAGNOLIAVALE_HEAP:-256m}" --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow -jar "$0" "$@"
