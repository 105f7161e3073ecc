#!/bin/sh
# Builds the stand-ins that the scripts start. Needs g++ only.
set -e
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O2 -Wall -Wextra -pthread -c stand_ins/stage.cpp \
    -o build/stage.o
for source in stand_ins/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != stage ]; then
        g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" build/stage.o \
            -o "build/$name"
    fi
done
