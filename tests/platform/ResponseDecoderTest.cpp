#include <fakes/PlacementHarness.h>
#include <platform/JsonText.h>
#include <platform/ResponseDecoder.h>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::platform;

namespace {

std::string objectText(const std::string& name, const std::string& spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":5,"finalizers":[],"deleting":false},"spec":)" + spec
        + R"(,"status":null})";
}

std::string targetSpec(const std::string& field = "", const std::string& value = "")
{
    const std::vector<std::pair<std::string, std::string>> fields { { "service", R"("s")" },
        { "address", R"("10.0.0.1:80")" }, { "zone", R"("a")" }, { "slots", "3" }, { "state", R"("ready")" },
        { "cold_remaining_ms", "0" }, { "sequence", "1" }, { "born", "7" } };
    std::string text = "{";
    for (const auto& [name, usual] : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == field ? value : usual);
    return text + "}";
}

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string joined(const std::vector<std::string>& texts)
{
    std::string list;
    for (const std::string& text : texts)
        list += (list.empty() ? "" : ",") + text;
    return list;
}

std::string pageText(const std::vector<std::string>& objects)
{
    return R"({"items":[)" + joined(objects) + R"(],"more":true,"as_of":8})";
}

std::string changesText(const std::vector<std::string>& objects)
{
    std::vector<std::string> events;
    events.reserve(objects.size());
    for (const std::string& object : objects)
        events.push_back(R"({"deleted":false,"object":)" + object + "}");
    return R"({"events":[)" + joined(events) + R"(],"as_of":8})";
}

bool isTarget(const StoreEntry& entry) { return std::holds_alternative<TargetRecord>(entry.content); }

// Specs that name no target.
std::vector<std::string> oddSpecs()
{
    std::vector<std::string> specs { "null", "7", "[]", "\"\xff\xfe\"", R"("\udcff")", R"("\ud800")",
        R"({"service":1e999})", R"({"a":01})", R"({"a":nul})", nested(1'000'000), R"({"a":)" + nested(100) + "}",
        "{\"service\":\"\xff\xfe\"}", R"({"service":"other","slots":1e999})",
        R"({"service":"\udcff\udcfe","address":"\udc80"})", "\"a,b]}\\\"{[\"",
        targetSpec("service", "\"" + std::string(1'000'000, 'x') + "\"") };
    for (const char* value :
        { R"("10.0.0.1:99999")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")", R"("10.0.0.1")", R"("\u0000")" })
        specs.push_back(targetSpec("address", value));
    for (const char* value : { "0", "-1", "1e999", "18446744073709551616", "1.5", "true", "null", "{}" })
        specs.push_back(targetSpec("slots", value));
    for (const char* value : { "-1", "1e999", "18446744073709551615", "99999999999999999999999", R"("0")" })
        specs.push_back(targetSpec("cold_remaining_ms", value));
    for (const char* field : { "service", "zone", "state" })
        specs.push_back(targetSpec(field, R"("")"));
    return specs;
}

} // namespace

// Guards against one entry of another writer that hides all changes of targets.
TEST_CASE("An object that cannot be decoded makes no other object unusable")
{
    for (const std::string& spec : oddSpecs()) {
        INFO(spec.substr(0, 100));
        for (std::size_t place = 0; place < 3; ++place) {
            std::vector<std::string> objects { objectText("i-1", targetSpec()), objectText("i-2", targetSpec()) };
            objects.insert(objects.begin() + static_cast<std::ptrdiff_t>(place), objectText("x-badbeef", spec));
            const auto page = decodePage(pageText(objects), &decodeTargetObject);
            const auto changes = decodeChanges(changesText(objects), &decodeTargetObject);
            REQUIRE(isOk(page));
            REQUIRE(isOk(changes));
            for (const auto& entries : { valueOf(page).entries, valueOf(changes).entries }) {
                REQUIRE(entries.size() == 3);
                for (std::size_t index = 0; index < 3; ++index)
                    CHECK(isTarget(entries[index]) == (index != place));
                // A list continues after this name.
                CHECK(entries[place].name == "x-badbeef");
                CHECK_FALSE(entries[place].error.empty());
                CHECK(entries[place].error.size() < 300);
            }
        }
    }
}

// Guards against a list that ends early because its page ends with a name that is no text.
TEST_CASE("The bytes of a name that cannot be decoded are kept")
{
    const std::vector<std::pair<std::string, std::string>> names { { "x\xff-7f", "x\xff-7f" },
        { R"(x\udcff-7f)", "x\xff-7f" }, { R"(\ud83d\ude00\ud800)", "\xf0\x9f\x98\x80\xed\xa0\x80" },
        { R"(\"\\\n\u00e4\udc80)", "\"\\\n\xc3\xa4\x80" } };
    for (const auto& [text, bytes] : names) {
        const auto page = decodePage(pageText({ objectText(text, targetSpec()) }), &decodeTargetObject);
        REQUIRE(isOk(page));
        CHECK(valueOf(page).entries.at(0).name == bytes);
        CHECK_FALSE(isTarget(valueOf(page).entries[0]));
    }
    for (const char* object : { "7", "[]", "{}", R"({"meta":7})", R"({"meta":{"name":7}})" }) {
        const auto page = decodePage(pageText({ object, objectText("i-1", targetSpec()) }), &decodeTargetObject);
        REQUIRE(isOk(page));
        CHECK(valueOf(page).entries.at(0).name.empty());
        CHECK(isTarget(valueOf(page).entries.at(1)));
    }
}

TEST_CASE("A response that is not complete is an error")
{
    const std::string page = pageText({ objectText("i-1", targetSpec()) });
    const std::string changes = changesText({ objectText("i-1", targetSpec()) });
    for (std::size_t size = 0; size < page.size(); ++size)
        CHECK_FALSE(isOk(decodePage(page.substr(0, size), &decodeTargetObject)));
    for (std::size_t size = 0; size < changes.size(); ++size)
        CHECK_FALSE(isOk(decodeChanges(changes.substr(0, size), &decodeTargetObject)));
    CHECK_FALSE(isOk(decodePage(page + "x", &decodeTargetObject)));
    CHECK_FALSE(isOk(decodePage(R"({"items":[],"more":false,"as_of":-1})", &decodeTargetObject)));
    CHECK_FALSE(isOk(decodePage(R"({"items":[],"more":false,"as_of":1.5})", &decodeTargetObject)));
}

TEST_CASE("A configuration whose weights cannot be used is rejected")
{
    for (const char* weight : { "4294967296", "18446744073709551615", "1e999", "-1", "0" }) {
        const std::string spec
            = R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/80/","split":[)"
            + std::string(R"({"service":"a","weight":)") + weight + R"(}]}],"limits":{"idle_timeout_ms":15000}})";
        const auto page = decodePage(pageText({ objectText("main", spec) }), &decodeRoutesObject);
        REQUIRE(isOk(page));
        CHECK(std::holds_alternative<std::monostate>(valueOf(page).entries.at(0).content));
        CHECK_FALSE(valueOf(page).entries[0].error.empty());
    }
}

// Guards against an entry that is taken from the store and makes peers reject the whole view that holds it, and against
// a crash on any response. The seed is fixed.
TEST_CASE("Any decoded response can be passed on to peers")
{
    constexpr int runs = 20'000;
    pcg32 random(29);
    const auto below
        = [&](std::size_t size) { return std::uniform_int_distribution<std::size_t>(0, size - 1)(random); };
    const std::vector<std::string> odd = oddSpecs();
    const std::string pieces("\"\\{}[],:0e9-.u\xff\x80\0\n\x7f", 19);
    std::size_t targets = 0;
    for (int run = 0; run < runs; ++run) {
        std::vector<std::string> objects { objectText("i-1", targetSpec()), objectText("i-2", targetSpec()),
            objectText("x-badbeef", odd[below(odd.size())].substr(0, 2000)) };
        std::string text = below(2) == 0 ? pageText(objects) : changesText(objects);
        for (std::size_t change = below(3); change > 0; --change)
            text[below(text.size())] = pieces[below(pieces.size())];
        std::vector<StoreEntry> entries;
        if (auto page = decodePage(text, &decodeTargetObject); isOk(page))
            entries = std::move(valueOf(page).entries);
        else if (auto changes = decodeChanges(text, &decodeTargetObject); isOk(changes))
            entries = std::move(valueOf(changes).entries);
        ViewSnapshot view;
        for (const StoreEntry& entry : entries) {
            if (isTarget(entry))
                view.targets.push_back({ .record = std::get<TargetRecord>(entry.content), .version = entry.version });
        }
        targets += view.targets.size();
        const auto decoded = decodeView(encodeView(view));
        INFO(text);
        REQUIRE(isOk(decoded));
        REQUIRE(valueOf(decoded).targets.size() == view.targets.size());
    }
    // Most responses are decoded.
    CHECK(targets > static_cast<std::size_t>(runs));
}
