#pragma once

#include <string>
#include <string_view>

#include "carawayrelay/request.h"
#include "connection/message.h"

namespace carawayrelay {

// Encodes a message as the payload of one frame.
std::string Encode(const Message& message);

// Decodes the payload of one frame. Fails with kInvalid when the payload is
// malformed, contains no known message, or has another protocol version.
Result<Message> Decode(std::string_view payload);

}  // namespace carawayrelay
