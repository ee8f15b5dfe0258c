#include "ServiceFileFinder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace anvilwalk {

namespace {

    namespace fs = std::filesystem;

    bool isServiceFileName(const std::string& name)
    {
        constexpr std::string_view suffix = ".anvilwalk.toml";
        return name == "anvilwalk.toml"
            || (name.size() > suffix.size() && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0);
    }

    void addFinding(FoundServiceFiles& found, const std::string& path, const std::string& message, const char* hint)
    {
        found.findings.add({ .place = { .file = path }, .message = message, .hint = hint });
    }

    void readFile(const std::string& path, FoundServiceFiles& found)
    {
        std::ifstream stream(path, std::ios::binary);
        std::string text { std::istreambuf_iterator<char>(stream), {} };
        if (!stream.is_open() || stream.bad()) {
            addFinding(found, path, "the file cannot be read", "check the path and its permissions");
            return;
        }
        found.files.push_back({ .path = path, .text = std::move(text) });
    }

    void searchDirectory(const std::string& directory, std::set<std::string>& paths, FoundServiceFiles& found)
    {
        const std::size_t before = paths.size();
        std::error_code error;
        for (fs::recursive_directory_iterator entry(directory, error), end; !error && entry != end;
             entry.increment(error)) {
            std::error_code ignored;
            if (entry->is_regular_file(ignored) && isServiceFileName(entry->path().filename().string()))
                paths.insert(entry->path().lexically_normal().string());
        }
        if (error)
            addFinding(found, directory, "the directory cannot be read: " + error.message(), "check its permissions");
        else if (paths.size() == before)
            addFinding(found, directory, "the directory contains no service file",
                "name service files anvilwalk.toml or NAME.anvilwalk.toml");
    }

} // namespace

FoundServiceFiles findServiceFiles(const std::vector<std::string>& paths)
{
    FoundServiceFiles found;
    // A set, so that a file reached through two arguments is read only once.
    std::set<std::string> files;
    for (const std::string& path : paths) {
        std::error_code error;
        if (fs::is_directory(path, error))
            searchDirectory(path, files, found);
        else if (fs::exists(path, error))
            files.insert(fs::path(path).lexically_normal().string());
        else
            addFinding(found, path, "no such file or directory", "check the path");
    }
    for (const std::string& path : files)
        readFile(path, found);
    return found;
}

} // namespace anvilwalk
