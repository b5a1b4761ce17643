#include "connection/frame_memory.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "connection/link.h"

namespace carawayrelay {
namespace {

struct FrameMemoryFixture {
  static constexpr size_t kMaxBytes = 100;

  asio::io_context io;
  FrameMemory memory{kMaxBytes};
  std::vector<std::shared_ptr<Link>> links;
  std::vector<std::unique_ptr<FrameMemory::Part>> parts;
  std::string closed;  // names of the closed links

  // Adds a link whose part is released when it is closed.
  FrameMemory::Part& Add(char name) {
    const size_t index = links.size();
    links.push_back(Link::Make(asio::ip::tcp::socket(io), memory));
    parts.push_back(std::make_unique<FrameMemory::Part>(memory, *links.back()));
    links.back()->Start([](Message&) { return true; },
                        [this, name, index](const std::string&) {
                          closed += name;
                          parts[index]->Release();
                        });
    return *parts.back();
  }
  ~FrameMemoryFixture() {
    for (const auto& link : links) {
      link->Close("end of the test");
    }
  }
};

// Guards against links that announce frames, send no more and keep out others.
TEST_CASE_FIXTURE(FrameMemoryFixture,
                  "FrameMemory, used up, closes the link of oldest progress") {
  FrameMemory::Part& a = Add('a');
  FrameMemory::Part& b = Add('b');
  FrameMemory::Part& c = Add('c');
  CHECK(a.Reserve(40));
  CHECK(b.Reserve(40));
  CHECK(a.Reserve(10));
  CHECK(c.Reserve(40));
  CHECK(closed == "b");
}

// Guards against a frame that is larger than the memory and closes all others
// in vain again and again.
TEST_CASE_FIXTURE(FrameMemoryFixture,
                  "FrameMemory, only one link left, it is refused") {
  FrameMemory::Part& a = Add('a');
  CHECK(a.Reserve(kMaxBytes));
  CHECK_FALSE(a.Reserve(1));
}

// Guards against memory that is not returned.
TEST_CASE_FIXTURE(FrameMemoryFixture,
                  "FrameMemory, frame complete, its bytes are free again") {
  FrameMemory::Part& a = Add('a');
  FrameMemory::Part& b = Add('b');
  CHECK(a.Reserve(kMaxBytes));
  a.Release();
  CHECK(b.Reserve(kMaxBytes));
  CHECK(closed.empty());
}

}  // namespace
}  // namespace carawayrelay
