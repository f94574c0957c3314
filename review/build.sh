#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, besides the build of
# deploy/system.toml. They need only the C++ compiler and its library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "review/bin/case-$name" "$source"
done
