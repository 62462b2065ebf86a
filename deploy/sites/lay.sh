#!/bin/sh
# Lays beside these site files what the bench wants there (names on the wire and on sockets, and unlocked troubles). They are the
# kit's and are not kept here: git ignores them. lay.sh KIT, the folder of the kit.
set -eu
kit=${1:?the folder of the kit}
here=$(dirname "$0")
for file in wire.json real.json ops.json unlock.txt; do
    cp "$kit/sites/$file" "$here/$file"
done
