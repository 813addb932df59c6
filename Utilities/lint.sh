#!/bin/bash
# Checks the formatting with clang-format and runs clang-tidy. Exits with a non-zero status on any
# finding.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cxx' | xargs clang-format --dry-run -Werror
cmake --preset lint > /dev/null
git ls-files '*.cxx' | grep -v -e library_sources.cxx -e Tests/Fuzz \
    | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build-lint 2> /dev/null
echo "lint: no findings"
