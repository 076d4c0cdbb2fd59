#!/usr/bin/env bash
# Runs the soak test with two fixed seeds and with each seed that ever failed.
cd "$(dirname "$0")/.."
for seed in 1 2 $(sed 's/#.*//' test/soak/failed-seeds); do
	bash test/soak/soak.sh "$seed" 10 || exit 1
done
echo "soak passed"
