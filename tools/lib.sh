# Shell functions shared by the scripts in tools/. Source it from the repository root.

# Installs the missing Debian packages of tools/packages.txt. Recommended packages
# are left out, because libasio-dev recommends a Boost that replaces 1.81.
install_packages() {
  local missing=() package
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
  done <tools/packages.txt
  [ ${#missing[@]} -eq 0 ] && return 0
  echo "installing: ${missing[*]}"
  if ! apt-get update -qq || ! DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null; then
    echo "could not install ${missing[*]}; install them and run again" >&2
    return 1
  fi
}

# Builds all targets in the directory $1. The other arguments go to CMake.
build_all() {
  local dir=$1
  shift
  # With relative paths, checkouts in different folders share the compiler cache.
  export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
  cmake -S . -B "$dir" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null &&
    cmake --build "$dir" -j "${RELAY_JOBS:-$(nproc)}"
}
