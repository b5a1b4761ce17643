#pragma once

namespace carawayrelay {

// Builds a visitor from lambdas.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace carawayrelay
