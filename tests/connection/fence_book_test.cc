#include <doctest/doctest.h>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

struct FenceBookFixture {
  FenceBook book{2};
};

// Guards against items of a former lease owner that run beside the new one's.
TEST_CASE_FIXTURE(FenceBookFixture,
                  "FenceBook, lower fence of the same chunk, is refused") {
  CHECK(book.Accept("j", 1, Fence{5}));
  CHECK(book.Accept("j", 1, Fence{5}));
  CHECK_FALSE(book.Accept("j", 1, Fence{4}));
  CHECK(book.Accept("j", 2, Fence{4}));
  CHECK(book.Accept("j", 1, Fence{6}));
  CHECK_FALSE(book.Accept("j", 1, Fence{5}));
}

// Guards against memory that grows with every chunk, and against forgetting
// the chunks in use.
TEST_CASE_FIXTURE(FenceBookFixture,
                  "FenceBook, more chunks than room, forgets the oldest") {
  book.Accept("j", 1, Fence{5});
  book.Accept("j", 2, Fence{5});
  book.Accept("j", 1, Fence{5});
  book.Accept("j", 3, Fence{5});
  CHECK(book.size() == 2);
  CHECK_FALSE(book.Accept("j", 1, Fence{4}));
  CHECK(book.Accept("j", 2, Fence{4}));
}

}  // namespace
}  // namespace carawayrelay
