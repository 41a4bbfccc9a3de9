#include "heatherridge_platform.h"
#include "support/scriptedtarget.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using nlohmann::json;

/** Returns an item of a page, with the value "x". */
std::string item(const std::string &key, const std::string &offset = "1")
{
    return R"({"key":)" + json(key).dump() + R"(,"value":"eA==","offset":)" + offset + "}";
}

std::string pageOf(const std::string &items, bool hasMore = false)
{
    return R"({"items":[)" + items + R"(],"hasMore":)" + (hasMore ? "true" : "false") + R"(,"end":9})";
}

std::string okResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Returns the decoded value of the parameter `after` of @p request; nothing if the request has none. */
std::optional<std::string> afterOf(const std::string &request)
{
    const auto line = request.substr(0, request.find(" HTTP/1.1\r\n"));
    const auto name = line.find("&after=");
    if (name == std::string::npos) {
        return std::nullopt;
    }
    const auto text = line.substr(name + 7, line.find('&', name + 7) - name - 7);
    std::string value;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            value += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            value += text[index];
        }
    }
    return value;
}

/** Reads the register of targets from a log that answers as told. */
class NewestReading
{
public:
    /** Returns the body of the page that follows a key; the first page follows nothing. */
    using Pages = std::function<std::string(const std::optional<std::string> &after)>;

    explicit NewestReading(Pages pages)
        : m_server([pages = std::move(pages)](const std::string &request, int) {
            return std::vector<TargetAction>{{.bytes = okResponse(pages(afterOf(request)))}};
        })
    {
        PlatformLog log(
            std::make_shared<LogClient>(m_client, LogClient::Options{.endpoint = m_server.endpoint()},
                                        LogEvents{.restored = [](const auto &) {}, .malformed = [](auto) {}}));
        log.readNewest(RegisterKind::Targets, [this](Result<RegisterPage> page) {
            ++m_calls;
            m_page = std::move(page);
            m_loop.stop();
        });
        m_loop.run_for(2s);
    }

    /** Returns how often the reading has ended. */
    int calls() const
    {
        return m_calls;
    }

    /** Returns the keys and values read; nothing if the reading has failed. */
    std::optional<std::map<std::string, std::string>> values() const
    {
        const auto *page = std::get_if<RegisterPage>(&m_page);
        if (m_calls == 0 || page == nullptr) {
            return std::nullopt;
        }
        std::map<std::string, std::string> values;
        for (const auto &change : page->changes) {
            values[change.key] = change.value.value_or("");
        }
        return values;
    }

private:
    ScriptedTarget m_server;
    asio::io_context m_loop;
    HttpClient m_client{m_loop, {}};
    int m_calls = 0;
    Result<RegisterPage> m_page = RegisterPage();
};

using Values = std::map<std::string, std::string>;

struct OddItemRow
{
    const char *name;
    std::string item; ///< between two sound ones, with the keys "a" and "z"
    Values values; ///< read beside those of the sound items
};

const OddItemRow OddItemRows[] = {
    {"NoValue", R"({"key":"m","offset":1})", {{"m", ""}}},
    {"ValueIsANumber", R"({"key":"m","value":7,"offset":1})", {{"m", ""}}},
    {"ValueIsNoBase64", R"({"key":"m","value":"\u00ff!","offset":1})", {{"m", ""}}},
    {"NoKey", R"({"value":"eA==","offset":1})", {}},
    {"KeyIsANumber", R"({"key":7,"value":"eA==","offset":1})", {}},
    {"NoOffset", R"({"key":"m","value":"eA=="})", {}},
    {"OffsetIsText", R"({"key":"m","value":"eA==","offset":"1"})", {}},
    {"OffsetIsNegative", R"({"key":"m","value":"eA==","offset":-1})", {}},
    {"OffsetIsTooLarge", R"({"key":"m","value":"eA==","offset":1e300})", {}},
    {"Null", "null", {}},
    {"Array", "[]", {}},
    {"Text", "\"m\"", {}},
    {"KeyOfOddBytes", "{\"key\":\"m\xff\xc3\",\"value\":\"eA==\",\"offset\":1}", {}},
    {"KeyWithHalfAPair", R"({"key":"m\ud800","value":"eA==","offset":1})", {}},
    {"KeyWithTheOtherHalf", R"({"key":"m\udc80","value":"eA==","offset":1})", {}},
};

class OddItems : public testing::TestWithParam<OddItemRow>
{
};

// Guards against a register that cannot be read at all because one of its records is odd.
TEST_P(OddItems, LeaveTheOthersReadable)
{
    const NewestReading reading(
        [](const auto &) { return pageOf(item("a") + "," + GetParam().item + "," + item("z")); });
    EXPECT_EQ(reading.calls(), 1);
    auto expected = GetParam().values;
    expected.insert({{"a", "x"}, {"z", "x"}});
    EXPECT_EQ(reading.values(), expected);
}

INSTANTIATE_TEST_SUITE_P(All, OddItems, testing::ValuesIn(OddItemRows),
                         [](const auto &info) { return std::string(info.param.name); });

const char *const OddKeys[] = {"a&b", "a b", "a%41", "a+b", "a#b", "a=b?", "\u00e4\u20ac", "a\"b\\", "a\nb"};

class OddLastKeys : public testing::TestWithParam<const char *>
{
};

// Guards against a reading that never ends, or misses records, because the last key of a page is odd.
TEST_P(OddLastKeys, AreNamedAsTheyAre)
{
    const std::string key = GetParam();
    const NewestReading reading([&key](const auto &after) {
        return !after ? pageOf(item(key), true) : *after == key ? pageOf(item("z")) : pageOf(item(key), true);
    });
    EXPECT_EQ(reading.values(), (Values{{key, "x"}, {"z", "x"}}));
}

INSTANTIATE_TEST_SUITE_P(All, OddLastKeys, testing::ValuesIn(OddKeys));

// Guards against records that are missed because the last record of a page has a key that cannot be read.
TEST(OddLastKeys, AreNotContinuedFromIfUnreadable)
{
    const NewestReading reading([](const auto &after) {
        return !after       ? pageOf(item("a") + R"(,{"key":"b\udc80","value":"eA==","offset":1})", true)
            : *after == "a" ? pageOf(R"({"key":"b\udc80","value":"eA==","offset":1},)" + item("z"))
                            : pageOf("");
    });
    EXPECT_EQ(reading.values(), (Values{{"a", "x"}, {"z", "x"}}));
}

struct EndlessRow
{
    const char *name;
    std::string items;
};

const EndlessRow EndlessRows[] = {
    {"NoItems", ""},
    {"TheSameKey", item("a")},
    {"OnlyUnreadableKeys", "{}"},
};

class EndlessPages : public testing::TestWithParam<EndlessRow>
{
};

// Guards against a reading that asks for the same page again without end.
TEST_P(EndlessPages, EndInAFailure)
{
    const NewestReading reading([](const auto &) { return pageOf(GetParam().items, true); });
    EXPECT_EQ(reading.calls(), 1);
    EXPECT_FALSE(reading.values());
}

INSTANTIATE_TEST_SUITE_P(All, EndlessPages, testing::ValuesIn(EndlessRows),
                         [](const auto &info) { return std::string(info.param.name); });

struct BadPageRow
{
    const char *name;
    std::string body;
};

const BadPageRow BadPageRows[] = {
    {"Empty", ""},
    {"NoObject", "[]"},
    {"NoItems", R"({"hasMore":false,"end":9})"},
    {"ItemsAreText", R"({"items":"a","hasMore":false,"end":9})"},
    {"NoEnd", R"({"items":[],"hasMore":false})"},
    {"EndIsNegative", R"({"items":[],"hasMore":false,"end":-1})"},
    {"EndIsTooLarge", R"({"items":[],"hasMore":false,"end":1e300})"},
    {"NoHasMore", R"({"items":[],"end":9})"},
    {"HasMoreIsANumber", R"({"items":[],"hasMore":1,"end":9})"},
    {"DeeplyNested",
     R"({"items":[],"hasMore":false,"end":9,"x":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}"},
};

class BadPages : public testing::TestWithParam<BadPageRow>
{
};

// Guards against a page that is not the log's being taken for an empty register.
TEST_P(BadPages, AreFailures)
{
    const NewestReading reading([](const auto &) { return GetParam().body; });
    EXPECT_EQ(reading.calls(), 1);
    EXPECT_FALSE(reading.values());
}

INSTANTIATE_TEST_SUITE_P(All, BadPages, testing::ValuesIn(BadPageRows),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
