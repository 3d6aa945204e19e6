// Tests the bound on the depth of documents from other processes.
#include "base/untrustedjson.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using nlohmann::json;

namespace {

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(depth, '}');
}

} // namespace

TEST_GROUP(UntrustedJsonTest){};

TEST(UntrustedJsonTest, AcceptsDocumentsUpToTheMaximumDepth)
{
    CHECK(parseUntrustedJson(nestedArrays(kMaxJsonDepth)).has_value());
    CHECK(parseUntrustedJson(nestedObjects(kMaxJsonDepth)).has_value());
    CHECK(parseUntrustedJson("7").has_value());
}

TEST(UntrustedJsonTest, RejectsDocumentsBeyondTheMaximumDepth)
{
    for (const std::string &text :
         {nestedArrays(kMaxJsonDepth + 1), nestedObjects(kMaxJsonDepth + 1),
          nestedArrays(1'000'000), std::string(1'000'000, '['), std::string(1'000'000, '{')}) {
        const auto value = parseUntrustedJson(text);
        CHECK_FALSE(value.has_value());
        STRCMP_EQUAL("arrays and objects are nested deeper than 128 levels", value.error().c_str());
    }
}

TEST(UntrustedJsonTest, CountsNoBracketsInsideStrings)
{
    const std::string brackets(1000, '[');
    CHECK(parseUntrustedJson("[\"" + brackets + "\"]").has_value());
    CHECK(parseUntrustedJson("[\"\\\"" + brackets + "\\\\\", \"" + brackets + "\"]").has_value());
    CHECK(parseUntrustedJson("{\"" + brackets + "\": 1}").has_value());
}

TEST(UntrustedJsonTest, CountsBracketsAfterStrings)
{
    CHECK_FALSE(parseUntrustedJson("[\"\\\\\", " + nestedArrays(kMaxJsonDepth) + "]").has_value());
    CHECK_FALSE(parseUntrustedJson("[\"\\\"\", " + nestedArrays(kMaxJsonDepth) + "]").has_value());
}

TEST(UntrustedJsonTest, CountsNestedValuesOnlyOnce)
{
    std::string siblings = "[";
    for (int index = 0; index < 1000; ++index) {
        siblings += "[{}],";
    }
    CHECK(parseUntrustedJson(siblings + "1]").has_value());
}

TEST(UntrustedJsonTest, NamesTheFaultOfTextThatIsNotJson)
{
    for (const char *text : {"", "{", "[1", "\"\\", "]", "\xff", "{\"a\":\"\xff\"}"}) {
        const auto value = parseUntrustedJson(text);
        CHECK_FALSE_TEXT(value.has_value(), text);
        STRCMP_CONTAINS("not JSON", value.error().c_str());
    }
}

TEST(UntrustedJsonTest, QuotesNoLongText)
{
    const auto value = parseUntrustedJson("[\"" + std::string(1'000'000, 'x'));
    CHECK_FALSE(value.has_value());
    CHECK(value.error().size() < 300);
}

TEST(UntrustedJsonTest, ChecksTheDepthOfValues)
{
    json value = 1;
    for (std::size_t level = 0; level < kMaxJsonDepth; ++level) {
        json outer = json::array();
        outer.push_back(std::move(value));
        value = std::move(outer);
    }
    CHECK_FALSE(exceedsMaxJsonDepth(value));
    json outer = json::object();
    outer["a"] = std::move(value);
    CHECK(exceedsMaxJsonDepth(outer));
}
