#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules, so nothing is compiled. Checks that they can be read and that
# the program of a host was built.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs findings/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
test -f ../target/waxwing-node.cjs
