#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=review/stand_ins_2
mkdir -p target/review-2
for case in encoded_part late_grace raised_limit forgotten_pause; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$case" \
        "$sources/$case.cpp" "$sources/stage.cpp" "$sources/pausing_server.cpp"
done
