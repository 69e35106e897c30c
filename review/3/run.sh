#!/usr/bin/env bash
# Plays the case once and writes record.txt beside this script. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-stand -root ../.. -record record.txt cancel
