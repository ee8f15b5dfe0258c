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
        Column { "DATA CENTRE", 12, true },
        Column { "SERVICE", 26, true },
        Column { "TARGETS", 8, false },
        Column { "LEAVING", 8, false },
        Column { "OPEN FLOWS", 12, false },
        Column { "NEW FLOWS", 12, false },
        Column { "REFUSED", 10, false },
        Column { "DROPPED", 10, false },
        Column { "RELAYED", 12, false },
        Column { "IMBALANCE", 10, false },
        Column { "FLOWS LEFT", 11, false },
    };

    using Cells = std::array<std::string, columns.size()>;

    // One line; a text that is too long is cut, so that the columns to its right stay in place.
    std::string layOutLine(const Cells& cells)
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

    std::string imbalanceText(const std::optional<double>& imbalance)
    {
        if (!imbalance)
            return "- ";
        std::ostringstream text;
        text << std::fixed << std::setprecision(2) << *imbalance;
        return withMark(text.str(), *imbalance > evenImbalance);
    }

    Cells cellsOf(const ReportRow& row)
    {
        if (!row.counts)
            return { row.dataCentre.value(), row.service.value(), "-", "-", "-", "-", "- ", "- ", "-", "- ", "-" };
        const ReportCounts& counts = *row.counts;
        return { row.dataCentre.value(), row.service.value(), std::to_string(counts.targets),
            std::to_string(counts.leaving), std::to_string(counts.openFlows), std::to_string(counts.newFlows),
            withMark(std::to_string(counts.refused), counts.refused > 0),
            withMark(std::to_string(counts.dropped), counts.dropped > 0), std::to_string(counts.relayed),
            imbalanceText(counts.imbalance), std::to_string(counts.flowsLeft) };
    }

    std::string timeText(std::int64_t unixMs)
    {
        const std::time_t seconds = unixMs / 1000;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        std::ostringstream text;
        text << std::put_time(&utc, "%Y-%m-%d %H:%M:%S UTC");
        return text.str();
    }

    std::string partLine(const ReportPart& part)
    {
        std::string line = part.dataCentre.value() + ": ";
        if (!part.ageMs)
            return line + "no status\n";
        std::string missing;
        for (const std::string& name : part.missing)
            missing += (missing.empty() ? "" : ", ") + name;
        if (part.balancers == 0 && !missing.empty())
            return line + "missing " + missing + "\n";
        line += "status " + std::to_string(*part.ageMs / 1000) + " s old";
        if (*part.ageMs > oldStatusMs)
            line += " (OLD)";
        line += "; configuration in force on " + std::to_string(part.upToDate) + " of " + std::to_string(part.balancers)
            + " balancers";
        return line + (missing.empty() ? "" : "; missing " + missing) + "\n";
    }

} // namespace

std::string layOutParts(const ReportFigures& figures)
{
    std::string text;
    for (const ReportPart& part : figures.parts)
        text += partLine(part);
    return text.empty() ? "No data centre has a status and the VM list names none.\n" : text;
}

std::string layOutReport(const ReportFigures& figures)
{
    std::string text = "anvilwalk report  " + timeText(figures.nowUnixMs) + "  configuration version "
        + std::to_string(figures.configVersion.value()) + "\n\n";
    Cells titles;
    for (std::size_t index = 0; index < columns.size(); ++index)
        titles[index] = columns[index].title;
    text += layOutLine(titles);
    for (const ReportRow& row : figures.rows)
        text += layOutLine(cellsOf(row));
    return text + "\n" + layOutParts(figures);
}

} // namespace anvilwalk
