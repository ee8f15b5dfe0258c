#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilwalk {

// Receives finished log lines.
class LineSink {
public:
    virtual ~LineSink() = default;
    // One line without its end.
    virtual void write(std::string_view line) = 0;
    // Passes on what is buffered, as far as the reader takes it.
    virtual void flush() = 0;
};

// Writes lines to a file descriptor without ever waiting for its reader. Lines that find no room are counted and left
// out.
class LineWriter final : public LineSink {
public:
    static constexpr std::size_t defaultCapacityBytes = 65'536;

    // The descriptor stays open and its flags unchanged.
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
