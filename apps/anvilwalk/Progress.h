#pragma once

#include <string>

namespace anvilwalk {

// Shows the current step on standard error: one line that is replaced on a terminal, plain lines elsewhere.
class Progress {
public:
    explicit Progress(bool quiet);
    ~Progress();
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

    // A sentence that equals the one before is not shown again.
    void show(const std::string& sentence);

private:
    bool m_quiet;
    bool m_terminal;
    std::string m_last;
};

} // namespace anvilwalk
