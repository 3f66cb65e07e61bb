// The connections of this host as the kernel lists them: proc(5), /proc/net/tcp.
#pragma once

#include <arpa/inet.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "net/net.h"

namespace reeltack::test {

enum class KernelState { established = 1, connecting = 2 };

// A row for each connection to an address that is in this state.
inline std::vector<std::string> connections_to(const net::Address& address, KernelState state) {
  in_addr host{};
  ::inet_pton(AF_INET, address.host.c_str(), &host);
  char wanted[40];
  std::snprintf(wanted, sizeof wanted, " %08X:%04X %02X ", host.s_addr, address.port,
                static_cast<unsigned>(state));
  std::vector<std::string> rows;
  std::ifstream table("/proc/net/tcp");
  for (std::string row; std::getline(table, row);) {
    if (row.find(wanted) != std::string::npos) rows.push_back(row);
  }
  return rows;
}

}  // namespace reeltack::test
