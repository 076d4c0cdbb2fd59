#!/usr/bin/env bash
# Runs all measurements and writes build/measures.kv, one line per figure.
# RUNS sets the number of runs of each load.
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
export OUT=${OUT:-$BUILD/measures.kv}
export RUNS=${RUNS:-2}
: >"$OUT"

bash tools/measure/path.bash
bash tools/measure/overload.bash aralsk
bash tools/measure/overload.bash trinacria
bash tools/measure/shared.bash
"$BUILD/tools/replay" | grep '^measure=' | tee -a "$OUT"
for slope in members_slope config_slope claim_writes quota_slope; do
	[ -x "$BUILD/tools/$slope" ] || continue
	"$BUILD/tools/$slope" | grep '^measure=' | tee -a "$OUT"
done
echo "figures written to $OUT"
