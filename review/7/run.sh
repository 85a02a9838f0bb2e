#!/bin/sh
# Case 7; see claim.txt. TROUBLE=0 leaves the grey server out.
cd "$(dirname "$0")/../.." || exit 2
exec build-review-2/case-7
