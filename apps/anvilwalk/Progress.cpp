#include "Progress.h"

#include <iostream>
#include <unistd.h>

namespace anvilwalk {

namespace {
    constexpr const char* clearLine = "\r\x1b[K";
}

Progress::Progress(bool quiet)
    : m_quiet(quiet)
    , m_terminal(isatty(STDERR_FILENO) == 1)
{
}

Progress::~Progress()
{
    if (m_terminal && !m_last.empty())
        std::cerr << clearLine << std::flush;
}

void Progress::show(const std::string& sentence)
{
    if (m_quiet || sentence == m_last)
        return;
    m_last = sentence;
    if (m_terminal)
        std::cerr << clearLine << sentence << std::flush;
    else
        std::cerr << sentence << std::endl;
}

} // namespace anvilwalk
