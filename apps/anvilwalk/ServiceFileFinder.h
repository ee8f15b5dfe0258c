#pragma once

#include <anvilwalk/version.h>

#include <string>
#include <vector>

namespace anvilwalk {

// Service files found on disk, and findings about paths that could not be read.
struct FoundServiceFiles {
    std::vector<ServiceFileText> files;
    Findings findings;
};

// Reads each path that is a file and, below each folder, every file named anvilwalk.toml or *.anvilwalk.toml,
// sorted by path. A folder without one is a finding.
FoundServiceFiles findServiceFiles(const std::vector<std::string>& paths);

} // namespace anvilwalk
