#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Returns whether @p line begins as the status line of HTTP/1 does, with a status of three digits from 100 to 599.
 * @param line its first 13 bytes or more, with the line end if the reason phrase and its blank are missing
 */
bool isStatusLine(std::string_view line);

/** Returns whether each name is a token and no value has a control byte other than the tab (RFC 9110, 5.1 and 5.5). */
bool areHeadersWellFormed(const std::vector<HttpHeader> &headers);

} // namespace Heatherridge
