// The buffered connection of a fake, and when what it reads has come.
//
// Owns: the socket, what was read and is not yet taken, and what is still to be written.
// Must never: know a message.
//
// Lives on the thread of its io_context. The times are of the kernel's receipt: on a busy machine a message
// may wait there for seconds before this thread has a turn.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "base/base.h"

namespace reeltack::standin {

// Calls `take` with all that was read and not yet taken, and `ended` once when the connection has ended.
class Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  static constexpr std::size_t kBroken = std::string_view::npos;
  // Returns how much of the text it took; kBroken: the connection is to end. `arrived`: when the text's last
  // byte did, by the kernel; what stands before it came earlier.
  using Take = std::function<std::size_t(std::string_view text, std::optional<Time> arrived)>;

  Pipe(boost::asio::ip::tcp::socket socket, std::uint64_t id);
  void begin(Take take, std::function<void()> ended);
  void write(const std::string& bytes);
  // Nothing is written while silent. It reads on: the log must tell when a message came, not when it was
  // looked at.
  void hold(bool silent);
  // Reads no more, so that what comes fills the buffers of the sockets.
  void stop_reading() { reading_ = false; }
  void reset();
  [[nodiscard]] std::uint64_t id() const { return id_; }

 private:
  void read();
  bool read_now();  // false: the connection has ended
  void flush();
  void end();

  boost::asio::ip::tcp::socket socket_;
  const std::uint64_t id_;
  Take take_;
  std::function<void()> ended_;
  std::string in_;
  std::size_t held_ = 0;
  std::string out_;
  std::string sending_;
  bool writing_ = false;
  bool silent_ = false;
  bool reading_ = true;
  bool over_ = false;
};

}  // namespace reeltack::standin
