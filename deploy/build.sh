#!/usr/bin/env bash
# Builds the program, and an archive of its classes that halves the processor time of a start.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -pl cli -am package -Dmaven.test.skip=true
rm -f target/medlarhook.jsa
MEDLARHOOK_CONFIG=deploy/training.conf timeout 60 java -Xmx200m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:-UsePerfData -XX:ArchiveClassesAtExit=target/medlarhook.jsa -Dlogback.configurationFile=logback-front.xml \
  -jar target/medlarhook front --train > target/training.log 2>&1 || echo "no class archive: see target/training.log" >&2
