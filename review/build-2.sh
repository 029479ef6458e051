#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are plain JavaScript for Node.js 20 without
# packages, so they are only checked here. The scripts also need the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.js review/[6-9]/*.js review/10/*.js; do
    [ ! -f "$file" ] || node --check "$file"
done
