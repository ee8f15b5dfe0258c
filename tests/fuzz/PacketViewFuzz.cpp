#include <anvilwalk/request.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

// Guards against out-of-bounds reads and against accepting a packet with wrong lengths.
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    const auto result = anvilwalk::PacketView::parse({ data, size });
    const auto* view = std::get_if<anvilwalk::PacketView>(&result);
    if (!view)
        return 0;
    const std::size_t totalLength = (static_cast<std::size_t>(data[2]) << 8) | data[3];
    const bool fragment = ((data[6] & 0x3f) | data[7]) != 0;
    if (totalLength != size || fragment || data[0] != 0x45)
        std::abort();
    return 0;
}
