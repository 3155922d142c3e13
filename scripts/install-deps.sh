#!/bin/sh
# Installs the Debian packages that the build, the tests and the demo need.
set -eu
packages="build-essential cmake ninja-build pkg-config git curl
    libglib2.0-dev libsoup-3.0-dev libtirpc-dev libjson-c-dev libxxhash-dev
    libsodium-dev libhttp-parser-dev libcmocka-dev liblog4c-dev clang-format clang-tidy"
missing=""
for package in $packages; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086 # a list of names, split on purpose
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q $missing
