// The connection of a fake remote end of a trunk group: its frames, its handshake, and a wire that may be
// slow.
//
// Owns: the socket, the frames on it, and how long each waits before it is delivered.
// Must never: know a call.
//
// Lives on the thread of its io_context.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/asio.h"
#include "base/base.h"
#include "standin/pipe.h"
#include "trunk/codec.h"

namespace reeltack::standin {

// What a connection asks of its owner, and tells it.
class TrunkConnectionOwner {
 public:
  virtual ~TrunkConnectionOwner() = default;
  virtual trunk::Hello hello() = 0;  // the first frame of each connection
  virtual void connected() = 0;      // the other end's has come
  virtual void broken() = 0;         // also where the connection had not come up
  // False: it breaks the rules, and the connection is to end.
  virtual bool received(const trunk::Signal& signal) = 0;
};

// One connection at a time, replaced as often as it ends. Exactly one of the addresses is given.
class TrunkConnection {
 public:
  // Throws std::runtime_error where it cannot listen. `owner` must outlive it.
  TrunkConnection(boost::asio::io_context& io, std::optional<base::Address> connect_to,
                  const std::optional<base::Address>& listen_on, TrunkConnectionOwner& owner);
  void write(const std::string& bytes);  // nothing, where there is no connection
  void drop();                           // resets it, and connects again if it had connected
  void delay(Duration each) { delay_ = each; }
  // The other end has been heard on this connection.
  [[nodiscard]] bool greeted() const { return greeted_; }

 private:
  void accept();
  void connect();
  void connect_again();
  void begin(boost::asio::ip::tcp::socket socket);
  void ended(std::uint64_t id);
  std::size_t take(std::uint64_t id, std::string_view bytes);
  void queue(const trunk::Signal& signal);
  void wait_for_first();
  void deliver_due();

  boost::asio::io_context& io_;
  const std::optional<base::Address> connect_to_;
  TrunkConnectionOwner& owner_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  boost::asio::steady_timer delayed_;
  std::shared_ptr<Pipe> pipe_;
  std::deque<std::pair<Time, trunk::Signal>> waiting_;  // each with when it is delivered
  Duration delay_{};
  bool greeted_ = false;
  std::uint64_t ids_ = 0;
};

}  // namespace reeltack::standin
