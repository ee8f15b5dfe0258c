#pragma once

#include <anvilwalk/process/ReportFigures.h>

#include <string>

namespace anvilwalk {

// An imbalance above this is marked in the report (section 1.7 of the design page).
inline constexpr double imbalanceThreshold = 1.10;

// Formats the report as plain text. Columns, their order and their widths are fixed (docs/report.md), so that
// readers find each figure in the same place.
std::string formatReport(const ReportFigures&);

// Formats only the coverage: for each data centre the age of its status, its balancers and what is missing.
std::string formatCoverage(const ReportFigures&);

} // namespace anvilwalk
