#pragma once

#include <anvilwalk/process/ReportFigures.h>

#include <string>

namespace anvilwalk {

// Highest imbalance that counts as even (section 1.7 of the design page).
inline constexpr double evenImbalance = 1.10;

// The report as plain text. Columns, their order and their widths are fixed (docs/report.md), so that people
// find a figure in the same place every time.
std::string layOutReport(const ReportFigures&);

// The parts of a report only: for each data centre the age of its status, its balancers and what is missing.
std::string layOutParts(const ReportFigures&);

} // namespace anvilwalk
