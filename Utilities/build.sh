#!/bin/bash
# Installs the Debian packages in packages.txt that are missing, and builds with the release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done < Utilities/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y "${missing[@]}"
fi
cmake --preset release
cmake --build --preset release
