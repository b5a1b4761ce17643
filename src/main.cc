#include <cstdio>

int main() {
  std::puts("carawayrelay " RELAY_VERSION);
  return 0;
}
