#pragma once

#include <anvilwalk/eventlog.h>

#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk::fakes {

// Keeps log lines for a test.
struct RecordedLines final : LineSink {
    void write(std::string_view line) override { lines.emplace_back(line); }
    void flush() override { }

    std::vector<std::string> lines;
};

} // namespace anvilwalk::fakes
