#!/bin/sh
# Builds what the scripts of this folder start: the stand-ins need only the
# Python of the deploy file. Compiling them shows that they can be read.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c '
import glob
for path in sorted(glob.glob("review/**/*.py", recursive=True)):
    compile(open(path, encoding="utf-8").read(), path, "exec")
'
