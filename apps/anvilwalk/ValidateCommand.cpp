#include "Commands.h"
#include "ServiceFileFinder.h"

#include <iostream>

namespace anvilwalk {

ExitCode runValidate(const CommandOptions& options)
{
    const FoundServiceFiles found = findServiceFiles(options.paths);
    const ServiceFileSet set = readServiceFiles(found.files);
    Findings findings = found.findings;
    findings.append(set.findings);
    if (!findings.empty()) {
        std::cerr << findings.toString() << findings.all().size() << " errors in " << found.files.size()
                  << " service files.\n";
        return ExitCode::Rejected;
    }
    for (const ServiceFileEntry& service : set.services)
        std::cout << service.config.name.value() << ": " << service.place.file << "\n";
    std::cout << set.services.size() << " service files are valid.\n";
    return ExitCode::Success;
}

} // namespace anvilwalk
