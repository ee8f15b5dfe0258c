#pragma once

#include <anvilwalk/version/ServiceConfig.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// Path and content of a service file.
struct ServiceFileText {
    std::string path;
    std::string text;
};

// A service and the file that describes it.
struct ServiceFileEntry {
    ServiceConfig config;
    SourcePlace place;
};

// Outcome of reading service files. The services may be used only if there are no findings.
struct ServiceFileSet {
    std::vector<ServiceFileEntry> services;
    Findings findings;
};

// Reads the files (docs/service-file.md) and checks each and all of them together. All faults of all files are
// reported in one go; only a TOML syntax error hides the faults behind it in the same file.
ServiceFileSet readServiceFiles(const std::vector<ServiceFileText>&);

} // namespace anvilwalk
