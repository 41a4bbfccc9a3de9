#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Returns the text of all sources of the platform's adapter and of the templates of the settings. */
std::string adapterText()
{
    std::string text;
    for (const auto *folder : {HEATHERRIDGE_SOURCE_DIR "/platform", HEATHERRIDGE_SOURCE_DIR "/deploy"}) {
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (entry.is_regular_file()) {
                text += readFile(entry.path());
            }
        }
    }
    return text;
}

std::set<std::string> namesIn(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> names;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern); match != std::sregex_iterator(); ++match) {
        names.insert((*match)[1]);
    }
    return names;
}

/** Returns whether @p code reads @p name: as a literal, in a query, or in a template. */
bool readsName(const std::string &code, const std::string &name)
{
    if (name.front() == '/') {
        return code.find(name + '"') != std::string::npos || code.find("= " + name + "\n") != std::string::npos;
    }
    const std::array<std::string, 8> forms{'"' + name + '"',   '"' + name + '=',    '&' + name + '=',
                                           "{{" + name + "}}", "{{#" + name + "}}", "{{" + name + ".",
                                           "{{#" + name + ".", "." + name + "}}"};
    return std::any_of(forms.begin(), forms.end(),
                       [&code](const auto &form) { return code.find(form) != std::string::npos; });
}

// Guards against news of the platform that nothing reads and nobody has decided to ignore.
TEST(PlatformNames, AreReadOrListedWithAReason)
{
    const auto page = readFile(HEATHERRIDGE_SOURCE_DIR "/docs/notes/platform-names.md");
    const auto code = adapterText();
    const auto notReadAt = page.find("## Not read");
    ASSERT_NE(notReadAt, std::string::npos);
    const std::regex quoted("`([A-Za-z/][A-Za-z_/-]*)`");
    const auto read = namesIn(page.substr(page.find("## Read"), notReadAt - page.find("## Read")), quoted);
    const auto notRead = namesIn(page.substr(notReadAt), quoted);
    EXPECT_GT(read.size(), 50U);
    for (const auto &name : read) {
        EXPECT_TRUE(readsName(code, name)) << name << " is not read";
        EXPECT_FALSE(notRead.contains(name)) << name << " is on both lists";
    }
    for (const auto &name : notRead) {
        EXPECT_FALSE(readsName(code, name)) << name << " is read";
    }
    const auto decoded =
        namesIn(code, std::regex(R"raw((?:Field(?:<[^>]*>+)?\(\w+|contains\(|at\(|value\()(?:, )?"(\w+)")raw"));
    EXPECT_GT(decoded.size(), 30U);
    for (const auto &name : decoded) {
        EXPECT_TRUE(read.contains(name)) << name << " is read and not on the page";
    }
}

} // namespace
