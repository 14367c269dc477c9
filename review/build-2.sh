#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 and 7. They need the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand2/*.java
