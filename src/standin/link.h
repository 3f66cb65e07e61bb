// A fake endpoint's link to controllers: platform JSON lines accepted, or call control's /centrales connected
// to.
//
// Owns: the sockets of one endpoint and the spelling of its messages.
// Must never: decide what an endpoint answers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "base/base.h"
#include "standin/centrales_file.h"

namespace reeltack::standin {

// What an endpoint hears of a controller.
struct Heard {
  enum class What { set_up, give_up_or_release, lost } what{};
  std::uint64_t call = 0;
  std::uint64_t number = 0;
  std::uint64_t from = 0;         // the connection
  std::optional<Time> arrived{};  // at the latest, by the kernel; none: not known
  bool arrived_exactly = false;   // nothing came after it in what was read, so that it is its own time
};

// Lives on the thread of its io_context.
class Link {
 public:
  using Notify = std::function<void(const Heard&)>;
  virtual ~Link() = default;
  // To the connection of the set-up, else to any open one, else to the next that comes.
  virtual void started(std::uint64_t from, std::uint64_t call, const std::string& description) = 0;
  virtual void ended(std::uint64_t from, std::uint64_t call, int cause, const char* note) = 0;
  virtual void load(std::uint32_t free, std::uint32_t lines, double util, std::size_t queue) = 0;
  virtual void hold(bool silent) = 0;  // says nothing while on
  virtual void die() = 0;              // resets every connection and takes no more
};

// Throws std::runtime_error where the address is taken. `greeting`: the first line on each connection.
std::unique_ptr<Link> listen_lines(boost::asio::io_context& io, const base::Address& at, Link::Notify notify,
                                   std::function<std::string()> greeting);
std::unique_ptr<Link> connect_websocket(boost::asio::io_context& io, const CentraleSettings& endpoint,
                                        Link::Notify notify);
// The figures of a load report as the platform writes them.
std::string load_figures(std::uint32_t free, std::uint32_t lines, double util, std::size_t queue);

}  // namespace reeltack::standin
