#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Writes a generated Thrift struct in the compact protocol.
template <class Struct>
std::string WriteCompactStruct(const Struct& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

// Reads a generated Thrift struct in the compact protocol into `value`. Fails
// with kInvalid when the bytes are malformed.
template <class Struct>
Result<void> ReadCompactStruct(std::string_view bytes, Struct& value) {
  // Thrift reads directly from `bytes` and does not modify it.
  auto* data = reinterpret_cast<std::uint8_t*>(
      const_cast<char*>(bytes.data()));  // NOLINT
  try {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    // A text has at most as many bytes, and a list at most as many elements, as
    // the frame has bytes. Without the limits, a short frame that announces
    // more makes Thrift allocate all of it.
    const auto limit =
        static_cast<std::int32_t>(std::max<size_t>(bytes.size(), 1));
    apache::thrift::protocol::TCompactProtocol protocol(buffer, limit, limit);
    value.read(&protocol);
  } catch (const std::exception& e) {
    return Error{ErrorCode::kInvalid,
                 std::string("malformed frame: ") + e.what()};
  }
  return Success();
}

}  // namespace carawayrelay
