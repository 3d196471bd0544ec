# Sets JAVA_HOME to a JDK 25 or newer; sourced by the other scripts.
for candidate in "${JAVA_HOME:-}" "$(dirname "$(dirname "$(readlink -f "$(command -v javac || echo /none/none/none)")")")" /usr/lib/jvm/* /opt/java/*; do
  [ -x "$candidate/bin/javac" ] || continue
  major=$("$candidate/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p')
  if [ "${major:-0}" -ge 25 ]; then
    JAVA_HOME=$candidate
    export JAVA_HOME
    found_jdk=yes
    break
  fi
done
if [ "${found_jdk:-no}" != yes ]; then
  echo "needs a JDK 25 or newer, for example Temurin 25; install one or set JAVA_HOME" >&2
  exit 1
fi
