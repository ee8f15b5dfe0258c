#include <anvilwalk/units.h>

#include <algorithm>
#include <tuple>

namespace anvilwalk {

std::string Finding::toString() const
{
    std::string text = place.file;
    if (place.line > 0)
        text += ":" + std::to_string(place.line) + ":" + std::to_string(place.column);
    text += ": " + message;
    if (!hint.empty())
        text += " (" + hint + ")";
    return text;
}

void Findings::add(Finding finding) { m_findings.push_back(std::move(finding)); }

void Findings::append(const Findings& other)
{
    m_findings.insert(m_findings.end(), other.m_findings.begin(), other.m_findings.end());
}

std::string Findings::toString() const
{
    std::vector<Finding> sorted = m_findings;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Finding& a, const Finding& b) {
        return std::tie(a.place.file, a.place.line, a.place.column)
            < std::tie(b.place.file, b.place.line, b.place.column);
    });
    std::string text;
    for (const Finding& finding : sorted)
        text += finding.toString() + "\n";
    return text;
}

} // namespace anvilwalk
