// The address at which one member reaches another: datagrams and connections, passed on with their faults.
//
// Owns: the datagram socket, the listener and the connections of one directed pair.
// Must never: send an answer by itself, or map a source back: members answer by their own tables.
//
// A dialled connection carries both directions, so a pair's relay knows the link there and the link back.
// Threads: the io_context's alone. Errors: std::runtime_error from the constructor where an address is taken.
#pragma once

#include <list>
#include <memory>
#include <optional>

#include "base/base.h"
#include "standin/between/later.h"
#include "standin/between/stream.h"

namespace reeltack::standin {

class Relay {
 public:
  Relay(boost::asio::io_context& io, Later& later, const base::Address& at, const base::Address& target,
        LinkFaults& forward, LinkFaults& backward);
  void changed();  // the faults of either link are others now
  void reset();    // every open connection, at once

 private:
  void open();
  void hear();
  void take();
  void pass_on(const std::string& bytes, const LinkFaults::Copy& copy);
  void accept();
  void fill_backlog();

  Later& later_;
  const boost::asio::ip::tcp::endpoint at_;
  const boost::asio::ip::tcp::endpoint target_;
  const boost::asio::ip::udp::endpoint target_udp_;
  LinkFaults& forward_;
  LinkFaults& backward_;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::tcp::acceptor listener_;
  // A connection of our own that takes the last place in the backlog, so that the kernel drops SYNs.
  boost::asio::ip::tcp::socket filler_;
  std::optional<boost::asio::ip::tcp::endpoint> filler_at_;
  bool hanging_ = false;
  bool accepting_ = false;
  std::list<std::shared_ptr<Stream>> streams_;
};

}  // namespace reeltack::standin
