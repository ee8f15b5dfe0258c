#pragma once

namespace anvilwalk {

// Keeps the gRPC library initialised until the process ends. Otherwise the last client or server to go shuts the
// library down, which waits for a poll of its own that takes up to 10 s.
void keepGrpcInitialised();

} // namespace anvilwalk
