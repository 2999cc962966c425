#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any is missing.
set -euo pipefail
packages=(g++ make cmake ninja-build ccache clang clang-format clang-tidy python3 curl openssl
  libboost1.81-dev libboost-json1.81-dev libflatbuffers-dev liblog4cplus-dev libtclap-dev
  catch2 libssl-dev libxxhash-dev gnuplot-nox libclang-rt-14-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
