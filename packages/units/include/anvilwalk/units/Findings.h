#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvilwalk {

// Position in an input file. Line and column are 1-based; 0 means the whole file.
struct SourcePlace {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

// An error in an input file, with a hint how to correct it.
struct Finding {
    SourcePlace place;
    std::string message;
    std::string hint;

    // Formats the finding as "file:line:column: message (hint)".
    std::string toString() const;
};

// Errors collected from one or more input files, to be reported together.
class Findings {
public:
    void add(Finding finding);
    void append(const Findings& other);

    bool empty() const { return m_findings.empty(); }
    const std::vector<Finding>& all() const { return m_findings; }
    // Formats all findings sorted by position, one per line.
    std::string toString() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace anvilwalk
