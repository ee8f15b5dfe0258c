#pragma once

namespace anvilwalk {

// Keeps the gRPC library initialised until the process exits. Without it, destroying the last client or server shuts
// the library down, which blocks for up to 10 s on an internal poll.
void keepGrpcInitialised();

} // namespace anvilwalk
