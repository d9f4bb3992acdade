#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/knapweedseamd ] && [ -x target/review-2/blip ] || { echo "not built"; exit 2; }
exec target/review-2/blip review/7/record.txt
