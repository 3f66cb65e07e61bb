// One connection through the relay: two directions, each with the faults of its own link.
//
// Owns: the two sockets and what is on its way between them, within bounds.
// Must never: look into the bytes, change their order, or lose any but by a reset.
//
// Where a link is cut, bytes, ends and resets of its direction wait here, and what the sender still writes
// waits in the kernel's buffers. Threads: the io_context's alone. The links must outlive the context's run.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "standin/between/later.h"
#include "standin/model/faults.h"

namespace reeltack::standin {

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // `dialler` came in; bytes from it take `forward`, bytes to it `backward`.
  Stream(Socket dialler, LinkFaults& forward, LinkFaults& backward, Later& later);
  void begin(const boost::asio::ip::tcp::endpoint& target);
  void changed();  // the faults of either link are others now
  void reset();    // both ways, at once
  [[nodiscard]] bool over() const { return over_; }

 private:
  struct Item {
    enum class Kind { bytes, end, reset } kind{};
    Time due{};
    std::string bytes;
  };
  struct Way {
    Way(Socket& reads, Socket& writes, LinkFaults& faults) : from(reads), to(writes), link(faults) {}
    Socket& from;
    Socket& to;
    LinkFaults& link;
    LinkFaults::Stream state;
    std::deque<Item> items;
    std::size_t held = 0;  // bytes in items
    std::string in, out;
    bool reading = false, writing = false;
    bool broken = false;       // a write to `from` failed: its end is a reset, which the write was told of
    bool heard_end = false;    // nothing more is read
    bool done = false;         // its end has been passed on, or its far side is gone
    Time armed = Time::max();  // when it is looked at again
  };
  void read(Way& way);
  void took(Way& way, const boost::system::error_code& error, std::size_t bytes);
  void pump(Way& way);
  void write(Way& way, std::string bytes);
  [[nodiscard]] Way& other(const Way& way) { return &way == &there_ ? back_ : there_; }
  void end_if_done();

  Socket dialler_;
  Socket target_;
  Later& later_;
  Way there_;
  Way back_;
  bool up_ = false;
  bool over_ = false;
};

}  // namespace reeltack::standin
