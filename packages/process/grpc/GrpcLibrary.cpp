#include "GrpcLibrary.h"

#include <grpc/grpc.h>

namespace anvilwalk {

void keepGrpcInitialised()
{
    static const bool initialised = [] {
        grpc_init();
        return true;
    }();
    static_cast<void>(initialised);
}

} // namespace anvilwalk
