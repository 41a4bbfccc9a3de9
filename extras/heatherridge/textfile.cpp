#include "textfile.h"

#include <fstream>
#include <sstream>

namespace Heatherridge
{

std::optional<std::string> readTextFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

} // namespace Heatherridge
