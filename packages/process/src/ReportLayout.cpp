#include <anvilwalk/process.h>

#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace anvilwalk {

namespace {

    struct Column {
        const char* title;
        int width;
        bool left;
    };

    constexpr std::array<Column, 11> columns {
        Column { "DATA CENTRE", 11, true },
        Column { "SERVICE", 26, true },
        Column { "TARGETS", 7, false },
        Column { "LEAVING", 7, false },
        Column { "OPEN FLOWS", 10, false },
        Column { "NEW FLOWS", 10, false },
        Column { "REFUSED", 9, false },
        Column { "DROPPED", 9, false },
        Column { "RELAYED", 10, false },
        Column { "IMBALANCE", 9, false },
        Column { "FLOWS LEFT", 10, false },
    };

    using Cells = std::array<std::string, columns.size()>;

    // Truncates text that is wider than its column, so that the columns to its right stay aligned.
    std::string formatRow(const Cells& cells)
    {
        std::ostringstream line;
        for (std::size_t index = 0; index < columns.size(); ++index) {
            const Column& column = columns[index];
            std::string text = cells[index];
            if (column.left && text.size() > static_cast<std::size_t>(column.width))
                text = text.substr(0, static_cast<std::size_t>(column.width) - 1) + "~";
            line << (index > 0 ? " " : "") << (column.left ? std::left : std::right) << std::setw(column.width) << text;
        }
        std::string result = line.str();
        result.erase(result.find_last_not_of(' ') + 1);
        return result + "\n";
    }

    std::string withMark(const std::string& text, bool marked) { return text + (marked ? "!" : " "); }

    std::string formatImbalance(const std::optional<double>& imbalance)
    {
        if (!imbalance)
            return "- ";
        std::ostringstream text;
        text << std::fixed << std::setprecision(2) << *imbalance;
        return withMark(text.str(), *imbalance > imbalanceThreshold);
    }

    Cells formatCells(const ReportRow& row)
    {
        if (!row.counts)
            return { row.dataCentre.value(), row.service.value(), "-", "-", "-", "-", "- ", "- ", "-", "- ", "-" };
        const ReportCounts& counts = *row.counts;
        return { row.dataCentre.value(), row.service.value(), std::to_string(counts.targets),
            std::to_string(counts.leaving), std::to_string(counts.openFlows), std::to_string(counts.newFlows),
            withMark(std::to_string(counts.refused), counts.refused > 0),
            withMark(std::to_string(counts.dropped), counts.dropped > 0), std::to_string(counts.relayed),
            formatImbalance(counts.imbalance), std::to_string(counts.flowsLeft) };
    }

    std::string formatTime(std::int64_t unixMs)
    {
        const std::time_t seconds = unixMs / 1000;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        std::ostringstream text;
        text << std::put_time(&utc, "%Y-%m-%d %H:%M:%S UTC");
        return text.str();
    }

    // Appends to a list of the form "kind a, kind b".
    void appendName(std::string& text, const std::string& kind, const std::string& name)
    {
        text += (text.empty() ? "" : ", ") + kind + " " + name;
    }

    std::string formatCoverageLine(const DataCentreCoverage& entry)
    {
        std::string line = entry.dataCentre.value() + ": ";
        if (!entry.ageMs)
            return line + "no status\n";
        line += "status " + std::to_string(*entry.ageMs / 1000) + " s old";
        if (*entry.ageMs > maxStatusAgeMs)
            line += " (OLD)";
        line += "; configuration in force on " + std::to_string(entry.upToDate) + " of "
            + std::to_string(entry.balancers) + " balancers";
        std::string missing;
        for (const BalancerId& id : entry.missingBalancers)
            appendName(missing, "balancer", id.value());
        for (const std::string& host : entry.targetsWithoutLoad)
            appendName(missing, "load of", host);
        return line + (missing.empty() ? "" : "; missing " + missing) + "\n";
    }

} // namespace

std::string formatCoverage(const ReportFigures& figures)
{
    std::string text;
    for (const DataCentreCoverage& entry : figures.coverage)
        text += formatCoverageLine(entry);
    std::string unreported;
    for (const BalancerId& id : figures.unreportedBalancers)
        appendName(unreported, "balancer", id.value());
    if (!unreported.empty())
        text += "VM list: missing " + unreported + "\n";
    return text.empty() ? "No data centre has a status and the VM list names none.\n" : text;
}

std::string formatReport(const ReportFigures& figures)
{
    std::string text = "anvilwalk report  " + formatTime(figures.nowUnixMs) + "  configuration version "
        + std::to_string(figures.configVersion.value()) + "\n\n";
    Cells titles;
    for (std::size_t index = 0; index < columns.size(); ++index)
        titles[index] = columns[index].title;
    text += formatRow(titles);
    for (const ReportRow& row : figures.rows)
        text += formatRow(formatCells(row));
    return text + "\n" + formatCoverage(figures);
}

} // namespace anvilwalk
