#include "Progress.h"

#include <iostream>
#include <unistd.h>

namespace anvilwalk {

namespace {
    constexpr const char* clearLine = "\r\x1b[K";
}

Progress::Progress(bool quiet)
    : m_quiet(quiet)
    , m_isTerminal(isatty(STDERR_FILENO) == 1)
{
}

Progress::~Progress()
{
    if (m_isTerminal && !m_lastMessage.empty())
        std::cerr << clearLine << std::flush;
}

void Progress::show(const std::string& message)
{
    if (m_quiet || message == m_lastMessage)
        return;
    m_lastMessage = message;
    if (m_isTerminal)
        std::cerr << clearLine << message << std::flush;
    else
        std::cerr << message << std::endl;
}

} // namespace anvilwalk
