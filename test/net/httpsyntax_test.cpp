#include "net/httpsyntax.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(HttpSyntaxTest){};

TEST(HttpSyntaxTest, UnreservedCharactersStayAsTheyAre)
{
    STRCMP_EQUAL("azAZ09-._~", encodeQueryValue("azAZ09-._~").c_str());
}

// Every byte but those of the unreserved characters and the slash has three characters.
TEST(HttpSyntaxTest, EncodesEveryOtherByte)
{
    constexpr int kBytes = 256;
    constexpr int kPlainBytes = 26 + 26 + 10 + 5;
    std::string all;
    for (int byte = 0; byte < kBytes; ++byte) {
        all += static_cast<char>(byte);
    }
    const std::string encoded = encodeQueryValue(all);
    LONGS_EQUAL(kPlainBytes + 3 * (kBytes - kPlainBytes), encoded.size());
    STRCMP_EQUAL("%00%01", encoded.substr(0, 6).c_str());
    STRCMP_EQUAL("%FE%FF", encoded.substr(encoded.size() - 6).c_str());
}

TEST(HttpSyntaxTest, ControlBytesAreNoFieldChars)
{
    for (const char character : {'\r', '\n', '\0', '\x7f', '\x1f'}) {
        CHECK_FALSE(isFieldChar(character));
    }
    for (const char character : {' ', '\t', 'a', '~', '\xc3'}) {
        CHECK_TRUE(isFieldChar(character));
    }
}

TEST(HttpSyntaxTest, TargetsHaveNoBlanksAndNoControlBytes)
{
    for (const char *const text : {"/", "/a?b=%20", "*", "/\xc3\xa9"}) {
        CHECK_TEXT(isRequestTarget(text), text);
    }
    for (const char *const text : {"", "/a b", "/a\tb", "/\r\nb: c", "/\x7f"}) {
        CHECK_FALSE_TEXT(isRequestTarget(text), text);
    }
}

TEST(HttpSyntaxTest, FieldValuesAreReadAsTheyWereWritten)
{
    for (const char *const text : {"", "a b", "a\tb", "\xc3\xa9", "\"a\", b/c"}) {
        CHECK_TEXT(isFieldValue(text), text);
    }
    for (const char *const text : {" ", "a ", "\ta", "a\r\nb: c", "a\n", "\x7f", "\x1b"}) {
        CHECK_FALSE_TEXT(isFieldValue(text), text);
    }
    CHECK_FALSE(isFieldValue(std::string_view("a\0b", 3)));
}
