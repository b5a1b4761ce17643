#pragma once

#include <string>
#include <string_view>

namespace carawayrelay {

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view data);

// Compares in a time that depends only on the lengths, so that the duration
// reveals nothing about the content.
bool EqualConstantTime(std::string_view a, std::string_view b);

}  // namespace carawayrelay
