#!/usr/bin/env bash
# Usage: build.sh PYTHON (the interpreter of the virtual environment)
# Builds dist/hickorygate: one executable that contains the interpreter, for
# instances without Python. Needs a C compiler and the static zlib library.
set -eu
cd "$(dirname "$0")/../.."
PYTHON=$1
ROOT=build/binary/root
BASE=$("$PYTHON" -c 'import sys; print(sys.base_prefix)')
VERSION=$("$PYTHON" -c 'import sys; print("python%d.%d" % sys.version_info[:2])')
LIB=$ROOT/lib/$VERSION

rm -rf build/binary
mkdir -p "$ROOT/bin" "$LIB" dist
cp "$BASE/bin/$VERSION" "$ROOT/bin/python3"
cp "$BASE"/lib/libpython3.*.so.* "$ROOT/lib/" 2>/dev/null || true

# Copies the standard library, except modules that a daemon never imports.
tar -C "$BASE/lib/$VERSION" \
  --exclude=./site-packages --exclude=./test --exclude=./idlelib \
  --exclude=./tkinter --exclude=./turtledemo --exclude=./ensurepip \
  --exclude=./lib2to3 --exclude=./pydoc_data --exclude=./distutils \
  --exclude='./config-*' --exclude=__pycache__ \
  --exclude='_tkinter*' --exclude='_test*' --exclude='_ctypes_test*' \
  --exclude='readline*' --exclude='_curses*' --exclude='nis.*' \
  -cf - . | tar -C "$LIB" -xf -

"$PYTHON" -m pip install --quiet --no-compile --requirement requirements.txt \
  --target "$LIB/site-packages"
"$PYTHON" -m pip install --quiet --no-compile --no-deps . \
  --target "$LIB/site-packages"
rm -rf build/lib "$LIB"/site-packages/{bin,setuptools,pkg_resources}
find "$LIB/site-packages" \( -name '*.pyi' -o -name '*.pyx' -o -name '*.pxd' \
  -o -name '*.c' -o -name '*.cpp' -o -name '*.h' \) -delete
find "$LIB/site-packages" -type d \( -name tests -o -name test \) \
  -prune -exec rm -rf {} +

# Copies the shared libraries that the extension modules need, except those of
# the C library.
find "$ROOT" -name '*.so' -exec ldd {} + 2>/dev/null |
  awk '$2 == "=>" && $3 ~ /^\// {print $3}' | sort -u |
  grep -Ev '/(libc|libm|libdl|librt|libpthread|libutil|libresolv|ld-linux.*)\.so' |
  grep -v libpython | xargs -r -I{} cp -L {} "$ROOT/lib/"
find "$ROOT" -name '*.so*' -exec strip --strip-unneeded {} + 2>/dev/null || true

"$PYTHON" -m compileall -q --invalidation-mode unchecked-hash "$LIB" >/dev/null
cc -O2 -Wall -Wextra -Werror -o build/binary/launcher \
  tools/binary/launcher.c -l:libz.a
"$PYTHON" tools/binary/pack.py build/binary/launcher "$ROOT" dist/hickorygate
ls -l dist/hickorygate
