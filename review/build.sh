#!/bin/sh
# The stand-ins of the scripts are written in Python and need no compiler. This
# checks that they can be read, and that the node was built by the deploy file.
cd "$(dirname "$0")/.." || exit 1
for source in review/mesh.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source" ||
    exit 1
done
test -x target/kumquatmoord || {
  echo "target/kumquatmoord is missing: run the build of deploy/system.toml"
  exit 1
}
