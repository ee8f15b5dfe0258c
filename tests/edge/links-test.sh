#!/usr/bin/env bash
# Fails if the balancer for the users' platform is linked with what only slot tables need.
# Usage: links-test.sh PATH-OF-anvilwalk-edge
set -euo pipefail
libraries=$(ldd "$1")
if grep -E 'grpc|protobuf|log4cplus|opentracing' <<<"$libraries"; then
    echo "anvilwalk-edge must not be linked with the libraries above."
    exit 1
fi
