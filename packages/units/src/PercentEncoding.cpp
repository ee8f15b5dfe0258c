#include <anvilwalk/units/PercentEncoding.h>

#include <cctype>

namespace anvilwalk {

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_') {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += hex[byte >> 4U];
        encoded += hex[byte & 0xFU];
    }
    return encoded;
}

} // namespace anvilwalk
