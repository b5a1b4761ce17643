#pragma once

namespace carawayrelay {

// Combines lambdas into a visitor for std::visit.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace carawayrelay
