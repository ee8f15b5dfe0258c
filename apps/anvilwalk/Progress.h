#pragma once

#include <string>

namespace anvilwalk {

// Prints progress messages to standard error: on a terminal each overwrites the previous one, otherwise each is a
// line of its own. Prints nothing if quiet.
class Progress {
public:
    explicit Progress(bool quiet);
    ~Progress();
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

    // Ignores a message that equals the previous one.
    void show(const std::string& message);

private:
    bool m_quiet;
    bool m_isTerminal;
    std::string m_lastMessage;
};

} // namespace anvilwalk
