#!/bin/sh
# Links what the operators' bench wants beside a site file, from the sites folder of their kit: the one named, or the one
# that stands beside the checkout. The links are not committed.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/sites}
if [ ! -d "$kit" ]; then
    echo "link.sh: no folder $kit: nothing linked" >&2
    exit 1
fi
kit=$(cd "$kit" && pwd)
for file in real.json wire.json unlock.txt; do
    ln -sfn "$kit/$file" "$here/$file"
done
