#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 8 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/tool.cc \
  -o target/review-2/tool
