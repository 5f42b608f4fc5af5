#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when
# all of them are installed already.
set -euo pipefail
cd "$(dirname "$0")"

missing=()
while read -r package; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
        missing+=("$package")
    fi
done < packages.txt

if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
