#!/usr/bin/env bash
# Generates docs/MEASURES.md and its plots from build/measures.kv and from the
# series that the measurements wrote to build/. The plots need gnuplot.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
KV=${KV:-$BUILD/measures.kv}
PLOTS=docs/measures
mkdir -p $PLOTS

# target_rows: prints the table rows of the figures that have a target.
target_rows() {
	awk '
	function get(key,   i, p) {
		for (i = 1; i <= NF; i++) {
			p = index($i, "=")
			if (substr($i, 1, p - 1) == key)
				return substr($i, p + 1)
		}
		return ""
	}
	/^measure=/ && get("target") != "" {
		range = get("low") == "" ? "" : get("low") " to " get("high")
		printf "| %s | %s | %s | %s | %s | %s | %s |\n", get("measure"),
			get("value"), range, get("unit"), get("target"),
			get("baseline"), get("runs")
	}' "$KV"
}

# slope_rows: prints the table rows of the figures as a function of n.
slope_rows() {
	awk '/^measure=/ && !/ target=/ {
		sub(/^measure=/, ""); sub(/ value=/, " | "); sub(/ unit=/, " | ")
		n = ""
		if (match($0, / n=[0-9]+/)) {
			n = substr($0, RSTART + 3, RLENGTH - 3)
			$0 = substr($0, 1, RSTART - 1)
		}
		print "| " $0 " | " n " |"
	}' "$KV"
}

# plot_recovery DEPLOYMENT: plots goodput over time with enforce and with off.
plot_recovery() {
	local mode file data=$BUILD/plot-$1
	for mode in enforce off; do
		file=$BUILD/measure-$1-recovery-$mode-1.txt
		[ -s "$file" ] || return 0
		awk '{ split($1, t, "="); split($4, g, "=")
			good[int(t[2] / 500)] += g[2] }
			END { for (b in good) print b / 2, good[b] * 2 }' \
			"$file" | sort -n >"$data-$mode"
	done
	gnuplot <<-END
	set terminal svg size 720,320 font "sans,12"
	set output "$PLOTS/recovery-$1.svg"
	set xlabel "seconds"
	set ylabel "good answers per second"
	set yrange [0:]
	set object rectangle from 5, graph 0 to 15, graph 1 \
		fillcolor rgb "#eeeeee" behind
	set key top right
	plot "$data-enforce" with lines lw 2 title "enforce", \
		"$data-off" with lines lw 2 title "off"
	END
}

command -v gnuplot >/dev/null && for deployment in aralsk trinacria; do
	plot_recovery $deployment
done

{
	cat docs/measures/head.md
	echo
	echo "| measure | median | range | unit | target | baseline | runs |"
	echo "|---|---|---|---|---|---|---|"
	target_rows
	echo
	echo "## Slopes"
	echo
	echo "| measure | value | unit | n |"
	echo "|---|---|---|---|"
	slope_rows
	echo
	cat docs/measures/tail.md
} >docs/MEASURES.md
echo "docs/MEASURES.md written"
