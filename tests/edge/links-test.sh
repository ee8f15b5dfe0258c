#!/usr/bin/env bash
# Fails if anvilwalk-edge is linked with libraries that only the slot-table balancer (anvilwalkd) needs.
# Usage: links-test.sh PATH-OF-anvilwalk-edge
set -euo pipefail
libraries=$(ldd "$1")
if grep -E 'grpc|protobuf|log4cplus|opentracing' <<<"$libraries"; then
    echo "anvilwalk-edge must not be linked with the libraries listed above."
    exit 1
fi
