#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=packages/messages/generated
protoc --proto_path=proto --cpp_out="$out" proto/*.proto
protoc --proto_path=proto --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
