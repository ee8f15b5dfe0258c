#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilwalk {

// Destination of complete log lines.
class LineSink {
public:
    virtual ~LineSink() = default;
    // Writes one line, passed without its line terminator.
    virtual void write(std::string_view line) = 0;
    // Writes out buffered lines as far as possible without blocking.
    virtual void flush() = 0;
};

// Writes lines to a file descriptor without blocking. Lines that do not fit in the buffer are dropped and counted.
class LineWriter final : public LineSink {
public:
    static constexpr std::size_t defaultCapacityBytes = 65'536;

    // Does not take ownership of the descriptor and leaves its flags unchanged.
    explicit LineWriter(int descriptor, std::size_t capacityBytes = defaultCapacityBytes);

    void write(std::string_view line) override;
    void flush() override;

    std::uint64_t linesLost() const { return m_linesLost; }

private:
    bool canWrite() const;

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_linesLost = 0;
};

} // namespace anvilwalk
