#pragma once

#include <anvilwalk/version.h>

#include <string>
#include <vector>

namespace anvilwalk {

// Service files read from disk, and findings for paths that are missing, unreadable or hold no service file.
struct FoundServiceFiles {
    std::vector<ServiceFileText> files;
    Findings findings;
};

// Reads each path that is a file and, recursively in each directory, every file named anvilwalk.toml or
// *.anvilwalk.toml. The files are sorted by path. A directory without a service file is a finding.
FoundServiceFiles findServiceFiles(const std::vector<std::string>& paths);

} // namespace anvilwalk
