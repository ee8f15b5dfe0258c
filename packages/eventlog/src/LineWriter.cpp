#include <anvilwalk/eventlog/LineWriter.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace anvilwalk {

LineWriter::LineWriter(int descriptor, std::size_t capacityBytes)
    : m_descriptor(descriptor)
    , m_capacity(capacityBytes)
{
}

void LineWriter::write(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > m_capacity) {
        ++m_linesLost;
        return;
    }
    m_buffer += line;
    m_buffer += '\n';
}

void LineWriter::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && canWrite()) {
        // A pipe that poll() reports as writable accepts up to PIPE_BUF bytes without blocking.
        const std::size_t size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

bool LineWriter::canWrite() const
{
    pollfd entry { .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace anvilwalk
