#!/usr/bin/env bash
# Regenerates the committed code under Schema/Generated from Schema/.
# Needs protobuf-compiler, protobuf-compiler-grpc and capnproto; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../Schema"
mkdir -p Generated
rm -f Generated/*
protoc --proto_path=. --cpp_out=Generated ./*.proto
protoc --proto_path=. --grpc_out=Generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" Caller.proto Operator.proto
capnp compile -oc++:Generated --src-prefix=. ./*.capnp
