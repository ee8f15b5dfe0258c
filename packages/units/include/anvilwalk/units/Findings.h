#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvilwalk {

// Place in a file. Line and column start at 1; 0 means the whole file.
struct SourcePlace {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

// One fault in an input file and what to write instead.
struct Finding {
    SourcePlace place;
    std::string message;
    std::string hint;

    // "file:line:column: message (hint)".
    std::string toString() const;
};

// Faults collected over one or more files, to be reported together.
class Findings {
public:
    void add(Finding finding);
    void append(const Findings& other);

    bool empty() const { return m_findings.empty(); }
    const std::vector<Finding>& all() const { return m_findings; }
    // All findings sorted by place, one a line.
    std::string toString() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace anvilwalk
